#include "knapweedroad/registry/target_record_check.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <chrono>
#include <string_view>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/registry/target_record.h"

namespace knapweedroad {
namespace {

// More than any target runs at once; keeps sums of slots in their type.
constexpr uint32_t kMaxSlots = 1'000'000;
constexpr Duration kMaxColdLeft = std::chrono::hours(24);

bool IsName(std::string_view text) {
  return text.size() <= kMaxTargetNameBytes &&
         std::ranges::none_of(text, [](char byte) {
           const auto code = static_cast<unsigned char>(byte);
           return code < 0x20 || code == 0x7f;
         });
}

bool IsIpNumber(const std::string& text) {
  in_addr address{};
  return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

std::string BadName(std::string_view field) {
  return std::string(field) + " must have 1 to " +
         std::to_string(kMaxTargetNameBytes) +
         " bytes and no control characters";
}

std::string WhyNotReachable(const TargetRecord& record) {
  if (record.service.empty() || !IsName(record.service.str())) {
    return BadName("the service's name");
  }
  if (record.zone.empty() || !IsName(record.zone.str())) {
    return BadName("the zone");
  }
  if (!IsIpNumber(record.address.ip) || record.address.port == 0) {
    return "the address must be an IP number and a port";
  }
  if (record.slots == 0 || record.slots > kMaxSlots) {
    return "a target needs 1 to " + std::to_string(kMaxSlots) + " slots";
  }
  return {};
}

}  // namespace

std::string WhyUnusable(const TargetRecord& record) {
  if (record.id.empty() || !IsName(record.id.str())) {
    return BadName("the id");
  }
  if (!IsName(record.version.str())) {
    return BadName("the version");
  }
  if (record.started_ms > kMaxTargetNumber ||
      record.sequence > kMaxTargetNumber) {
    return "the start and the sequence must be at most " +
           std::to_string(kMaxTargetNumber);
  }
  if (record.phase > TargetPhase::kGone) {
    return "the phase is none";
  }
  if (record.cold_left < Duration::zero() || record.cold_left > kMaxColdLeft) {
    return "the rest of the cold start must be 0 to 24 hours";
  }
  const bool is_only_gone =
      record.phase == TargetPhase::kGone && record.service.empty();
  return is_only_gone ? std::string() : WhyNotReachable(record);
}

bool IsUsableRecord(const TargetRecord& record, const std::string& source) {
  const std::string fault = WhyUnusable(record);
  if (!fault.empty()) {
    LogLine("target_record_refused")
        .Add("target", record.id.str().substr(0, kMaxTargetNameBytes))
        .Add("source", source)
        .Add("fault", fault)
        .Warning();
  }
  return fault.empty();
}

}  // namespace knapweedroad
