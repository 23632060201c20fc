#include "knapweedroad/edge/gather_codec.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using ServiceTimes = std::vector<uint32_t>;

void SetServiceTimes(std::vector<GatheredPart>& parts,
                     const ServiceTimes& times) {
  if (times.size() != parts.size()) {
    return;
  }
  for (size_t i = 0; i < parts.size(); ++i) {
    parts[i].service_time_percent = times[i];
  }
}

}  // namespace

std::string EncodeGatherReply(GatherReply reply) {
  ServiceTimes times;
  times.reserve(reply.parts.size());
  for (const GatheredPart& part : reply.parts) {
    times.push_back(part.service_time_percent);
  }
  if (std::ranges::any_of(times, [](uint32_t time) { return time > 0; })) {
    reply.parts.push_back({.target = kServiceTimesEntry,
                           .kind = kPartNotTried,
                           .seal = EncodeCompact(times)});
  }
  return EncodeCompact(reply);
}

tl::expected<GatherReply, std::string> DecodeGatherReply(
    std::string_view bytes) {
  auto reply = DecodeCompact<GatherReply>(bytes);
  if (!reply) {
    return reply;
  }
  const auto entry = std::ranges::find(reply->parts, kServiceTimesEntry,
                                       &GatheredPart::target);
  if (entry == reply->parts.end()) {
    return reply;
  }
  const auto times = DecodeCompact<ServiceTimes>(entry->seal);
  reply->parts.erase(entry);
  if (times) {
    SetServiceTimes(reply->parts, *times);
  }
  return reply;
}

}  // namespace knapweedroad
