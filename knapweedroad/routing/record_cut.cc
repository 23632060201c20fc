#include "knapweedroad/routing/record_cut.h"

#include <algorithm>
#include <cmath>

#include "knapweedroad/routing/record_merge.h"

namespace knapweedroad {
namespace {

// Records beyond the expected number, in standard deviations.
constexpr double kSpread = 4;
constexpr double kLeastMore = 2;
// One cut that was not enough weighs as much as hundreds that were.
constexpr double kRaise = 1.5;
constexpr double kFade = 0.999;
constexpr double kMostFactor = 100;

// The heads of one exchange with a target beside the caller's request, and what
// a gathered part takes in the call and the reply, in bytes.
constexpr double kExchangeHeads = 260;
constexpr double kGatheredPart = 75;
constexpr double kGatherCall = 200;
// Gathering has to be cheaper by this much to be worth a second host's work.
constexpr double kClearly = 0.85;

}  // namespace

size_t RecordCut::Wanted(const GatheredShare& share) const {
  const double expected =
      static_cast<double>(share.top) * static_cast<double>(share.parts) /
      static_cast<double>(std::max<size_t>(share.shards, 1));
  const double enough = expected + kSpread * std::sqrt(expected) + kLeastMore;
  return std::min(share.top,
                  static_cast<size_t>(std::ceil(this->current * enough)));
}

void RecordCut::OnUsed(bool was_enough) {
  this->current = was_enough ? std::max(1.0, this->current * kFade)
                             : std::min(kMostFactor, this->current * kRaise);
}

bool MayNeedHeld(std::string_view answer, size_t top, const CutRecords& cut) {
  if (cut.held == 0) {
    return false;
  }
  if (answer.size() < top * kRecordBytes || cut.sent.size() < kRecordBytes) {
    return true;
  }
  const std::string_view least_in =
      answer.substr((top - 1) * kRecordBytes, kRecordBytes);
  const std::string_view least_sent =
      cut.sent.substr(cut.sent.size() - kRecordBytes);
  return least_in < least_sent;
}

bool IsGatheringCheaper(const CrossingParts& crossing) {
  const auto parts = static_cast<double>(crossing.parts);
  const auto request = static_cast<double>(crossing.request_bytes);
  const double alone = parts * (crossing.part_bytes + request + kExchangeHeads);
  const double records =
      std::min(static_cast<double>(crossing.wanted_records * kRecordBytes),
               parts * crossing.part_bytes);
  const double gathered =
      kGatherCall + request + parts * kGatheredPart + records;
  return gathered < kClearly * alone;
}

}  // namespace knapweedroad
