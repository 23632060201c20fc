// How many records of some parts are enough for an answer of many parts.
//
//   RecordCut cut;
//   size_t wanted = cut.Wanted({.parts = 9, .shards = 36, .top = 50});
//   cut.OnUsed(is_enough);
//
// Answers the pattern of parts that are merged far away: of an answer's 50
// greatest records nine parts of 36 have about a dozen, and the rest would
// cross between zones for nothing. What is held back is asked for where it
// turns out that it may belong to the answer; the more often, the less is held
// back.

#ifndef KNAPWEEDROAD_ROUTING_RECORD_CUT_H_
#define KNAPWEEDROAD_ROUTING_RECORD_CUT_H_

#include <cstddef>
#include <span>
#include <string_view>

namespace knapweedroad {

struct GatheredShare {
  size_t parts = 0;
  size_t shards = 1;
  // Records of the whole answer.
  size_t top = 0;
};

class RecordCut {
 public:
  // `factor`: of what would be enough if records fell on parts by chance.
  explicit RecordCut(double factor = 1) : current(factor) {}

  // Never more than the answer has.
  size_t Wanted(const GatheredShare& share) const;
  double factor() const { return this->current; }

  // What came of a cut: whether the records that were sent were enough.
  void OnUsed(bool was_enough);

 private:
  double current;
};

// Records of which the smaller ones were held back.
struct CutRecords {
  std::string_view sent;
  size_t held = 0;
};

// Whether an answer's greatest records can include one that was held back.
// `answer`: the greatest records, falling, of all that is known.
bool MayNeedHeld(std::string_view answer, size_t top, const CutRecords& cut);

// Bytes that cross between zones for some parts: each by itself, or gathered.
struct CrossingParts {
  size_t parts = 0;
  // Of one part's records, and of the caller's request as it is passed on.
  double part_bytes = 0;
  size_t request_bytes = 0;
  // Of the records that are asked for where they are gathered.
  size_t wanted_records = 0;
};

// Whether gathering makes them clearly fewer.
bool IsGatheringCheaper(const CrossingParts& crossing);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_RECORD_CUT_H_
