// Limits how many records are requested from a host of another zone that
// gathers the parts of some shards, and estimates whether gathering saves bytes
// between zones.
//
//   RecordLimit limit;
//   size_t records = limit.RecordsToRequest(
//       {.parts = 9, .shards = 36, .top_records = 50});
//   limit.OnMerged(/*was_enough=*/!MayNeedWithheld(answer, 50, truncated));

#ifndef KNAPWEEDROAD_ROUTING_RECORD_LIMIT_H_
#define KNAPWEEDROAD_ROUTING_RECORD_LIMIT_H_

#include <cstddef>
#include <span>
#include <string_view>

namespace knapweedroad {

// The parts of an answer that are gathered and merged on one host. A part is
// the answer of one shard.
struct GatheredParts {
  size_t parts = 0;
  // Shards of the whole answer.
  size_t shards = 1;
  // Records in the whole answer.
  size_t top_records = 0;
};

// Requests about as many records as the gathered parts are expected to
// contribute to the answer. Of an answer's 50 greatest records, 9 of 36 parts
// contain about a dozen; the others would cross between zones without use.
// Withheld records are requested later where they may belong to the answer. The
// more often that happens, the higher the limit gets.
class RecordLimit {
 public:
  // `factor` multiplies the number of records that would be enough if the
  // greatest records were distributed over the parts at random.
  explicit RecordLimit(double factor = 1) : current_factor(factor) {}

  // Returns how many of the greatest records of the gathered parts to request;
  // at most `top_records`.
  size_t RecordsToRequest(const GatheredParts& gathered) const;
  // The present factor, from 1 to 100 unless constructed with another value.
  double factor() const { return this->current_factor; }

  // Adjusts the factor after an answer was merged from a truncated list of
  // records: raises it if withheld records had to be requested, else lowers it
  // slightly.
  void OnMerged(bool was_enough);

 private:
  double current_factor;
};

// The gathered records of some parts, of which only the greatest were sent.
struct TruncatedRecords {
  // Whole records of kRecordBytes each, in descending order.
  std::string_view sent;
  // The number of records that were not sent.
  size_t withheld = 0;
};

// Returns whether a withheld record may be one of the `top` greatest records of
// the whole answer, so that the withheld records must be requested. `answer`
// holds the greatest of all records received, in descending order. `top` is at
// least one.
bool MayNeedWithheld(std::string_view answer,
                     size_t top,
                     const TruncatedRecords& records);

// Parts that are to be requested from targets in another zone.
struct CrossZoneParts {
  size_t parts = 0;
  // Size of one part's records.
  double part_bytes = 0;
  // Size of the caller's request as it is forwarded.
  size_t request_bytes = 0;
  // Number of records that would be requested from a gathering host.
  size_t requested_records = 0;
};

// Returns whether a gathering host in the other zone would save enough bytes
// between zones, compared with requesting each part directly.
bool IsGatheringCheaper(const CrossZoneParts& crossing);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_RECORD_LIMIT_H_
