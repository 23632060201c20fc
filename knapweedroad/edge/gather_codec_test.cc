#include "knapweedroad/edge/gather_codec.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

GatherReply Reply(uint32_t first, uint32_t second) {
  return {.parts = {{.target = 2,
                     .seal = "seal",
                     .running = 1,
                     .slots = 4,
                     .service_time_percent = first},
                    {.target = 0,
                     .kind = kPartNotTried,
                     .service_time_percent = second}},
          .records = "aaaaaaaaaaaaaaaa"};
}

Test(gather_codec, service_times_reach_their_parts) {
  const auto reply = DecodeGatherReply(EncodeGatherReply(Reply(250, 0)));
  cr_assert(reply && reply->parts.size() == 2);
  cr_expect(reply->parts[0].target == 2);
  cr_expect(reply->parts[0].service_time_percent == 250);
  cr_expect(reply->parts[1].service_time_percent == 0);
  cr_expect(reply->records == Reply(0, 0).records);
}

// Guards against a rolling update during which hosts of the version before
// can't read what others gather for them. That version reads the same fields
// and ignores entries of targets that it didn't ask for.
Test(gather_codec, an_earlier_version_reads_all_but_the_service_times) {
  const auto reply =
      DecodeCompact<GatherReply>(EncodeGatherReply(Reply(250, 90)));
  cr_assert(reply && reply->parts.size() == 3);
  cr_expect(reply->parts[0].seal == "seal" && reply->parts[0].slots == 4);
  cr_expect(reply->parts[1].target == 0);
  cr_expect(reply->parts[2].target == kServiceTimesEntry);
  cr_expect(reply->records == Reply(0, 0).records);
}

// Guards against bytes that cross zones without need.
Test(gather_codec, a_reply_without_service_times_is_encoded_as_before) {
  cr_expect(EncodeGatherReply(Reply(0, 0)) == EncodeCompact(Reply(0, 0)));
}

// Guards against service times that are taken for another target's.
Test(gather_codec, service_times_that_do_not_fit_are_ignored) {
  GatherReply damaged = Reply(0, 0);
  for (const std::string& times :
       {std::string("?"), EncodeCompact(std::vector<uint32_t>{7})}) {
    damaged.parts.push_back({.target = kServiceTimesEntry, .seal = times});
    const auto reply = DecodeGatherReply(EncodeCompact(damaged));
    damaged.parts.pop_back();
    cr_assert(reply && reply->parts.size() == 2);
    cr_expect(std::ranges::all_of(reply->parts, [](const GatheredPart& part) {
      return part.service_time_percent == 0;
    }));
  }
}

}  // namespace
}  // namespace knapweedroad
