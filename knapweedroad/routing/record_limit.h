// How many records of some parts are enough for an answer of many parts.
//
//   RecordLimit cut;
//   size_t wanted = cut.RecordsToRequest({.parts = 9, .shards = 36,
//   .top_records = 50}); cut.OnMerged(is_enough);
//
// Answers the pattern of parts that are merged far away: of an answer's 50
// greatest records nine parts of 36 have about a dozen, and the rest would
// cross between zones for nothing. What is held back is asked for where it
// turns out that it may belong to the answer; the more often, the less is held
// back.

#ifndef KNAPWEEDROAD_ROUTING_RECORD_LIMIT_H_
#define KNAPWEEDROAD_ROUTING_RECORD_LIMIT_H_

#include <cstddef>
#include <span>
#include <string_view>

namespace knapweedroad {

struct GatheredParts {
  size_t parts = 0;
  size_t shards = 1;
  // Records of the whole answer.
  size_t top_records = 0;
};

class RecordLimit {
 public:
  // `factor`: of what would be enough if records fell on parts by chance.
  explicit RecordLimit(double factor = 1) : current_factor(factor) {}

  // Never more than the answer has.
  size_t RecordsToRequest(const GatheredParts& gathered) const;
  double factor() const { return this->current_factor; }

  // What came of a cut: whether the records that were sent were enough.
  void OnMerged(bool was_enough);

 private:
  double current_factor;
};

// Records of which the smaller ones were held back.
struct TruncatedRecords {
  std::string_view sent;
  size_t withheld = 0;
};

// Whether an answer's greatest records can include one that was held back.
// `answer`: the greatest records, falling, of all that is known.
bool MayNeedWithheld(std::string_view answer,
                     size_t top,
                     const TruncatedRecords& records);

// Bytes that cross between zones for some parts: each by itself, or gathered.
struct CrossZoneParts {
  size_t parts = 0;
  // Of one part's records, and of the caller's request as it is passed on.
  double part_bytes = 0;
  size_t request_bytes = 0;
  // Of the records that are asked for where they are gathered.
  size_t requested_records = 0;
};

// Whether gathering makes them clearly fewer.
bool IsGatheringCheaper(const CrossZoneParts& crossing);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_RECORD_LIMIT_H_
