#include "knapweedroad/routing/record_limit.h"

#include <algorithm>
#include <cmath>

#include "knapweedroad/routing/record_merge.h"

namespace knapweedroad {
namespace {

// Records to request beyond the expected number, in standard deviations.
constexpr double kStandardDeviations = 4;
constexpr double kMinExtraRecords = 2;
// One limit that was too low changes the factor as much as hundreds of limits
// that were high enough.
constexpr double kRaiseFactor = 1.5;
constexpr double kDecayFactor = 0.999;
constexpr double kMaxFactor = 100;

// Headers of one exchange with a target, in addition to the caller's request.
constexpr double kExchangeHeaderBytes = 260;
// Overhead of one gathered part in the gather call and its reply.
constexpr double kGatheredPartBytes = 75;
constexpr double kGatherCallBytes = 200;
// Gathering takes work on a second host, so its bytes must be below this share
// of those of direct requests.
constexpr double kMaxCostRatio = 0.85;

}  // namespace

size_t RecordLimit::RecordsToRequest(const GatheredParts& gathered) const {
  const double expected =
      static_cast<double>(gathered.top_records) *
      static_cast<double>(gathered.parts) /
      static_cast<double>(std::max<size_t>(gathered.shards, 1));
  const double enough =
      expected + kStandardDeviations * std::sqrt(expected) + kMinExtraRecords;
  return std::min(
      gathered.top_records,
      static_cast<size_t>(std::ceil(this->current_factor * enough)));
}

void RecordLimit::OnMerged(bool was_enough) {
  this->current_factor =
      was_enough ? std::max(1.0, this->current_factor * kDecayFactor)
                 : std::min(kMaxFactor, this->current_factor * kRaiseFactor);
}

bool MayNeedWithheld(std::string_view answer,
                     size_t top,
                     const TruncatedRecords& records) {
  if (records.withheld == 0) {
    return false;
  }
  if (answer.size() < top * kRecordBytes ||
      records.sent.size() < kRecordBytes) {
    return true;
  }
  const std::string_view least_in_answer =
      answer.substr((top - 1) * kRecordBytes, kRecordBytes);
  const std::string_view least_sent =
      records.sent.substr(records.sent.size() - kRecordBytes);
  return least_in_answer < least_sent;
}

bool IsGatheringCheaper(const CrossZoneParts& crossing) {
  const auto parts = static_cast<double>(crossing.parts);
  const auto request = static_cast<double>(crossing.request_bytes);
  const double direct =
      parts * (crossing.part_bytes + request + kExchangeHeaderBytes);
  const double records =
      std::min(static_cast<double>(crossing.requested_records * kRecordBytes),
               parts * crossing.part_bytes);
  const double gathered =
      kGatherCallBytes + request + parts * kGatheredPartBytes + records;
  return gathered < kMaxCostRatio * direct;
}

}  // namespace knapweedroad
