// How long before an answer is due at the caller it has to be decided on.
//
//   AnswerLeadTime lead_time({});
//   TimePoint decide_at = due - lead_time.Get(part_count);
//   lead_time.OnSent(sent_at - decided_at);

#ifndef KNAPWEEDROAD_ROUTING_ANSWER_LEAD_TIME_H_
#define KNAPWEEDROAD_ROUTING_ANSWER_LEAD_TIME_H_

#include <array>
#include <cstddef>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct AnswerLeadTimeOptions {
  // The way to the caller and back.
  Duration round_trip = std::chrono::milliseconds(8);
  // What each part of an answer adds to that: its proof and records are bytes
  // on a slow link, and parts that come together are read one after another.
  Duration time_per_part = std::chrono::microseconds(50);
  // Of all parts together: hosts that ask thousands of shards are fast.
  Duration max_parts_time = std::chrono::milliseconds(4);
  // What finishing an answer is taken to cost until that is known.
  Duration initial_send_time = std::chrono::milliseconds(3);
  // A host that stood still for seconds doesn't plan for that.
  Duration max_send_time = std::chrono::milliseconds(15);
};

// Merging and writing an answer takes milliseconds on a host with a small share
// of a processor: without a lead, an answer that waits for its last part is
// late and still lacks it.
class AnswerLeadTime {
 public:
  explicit AnswerLeadTime(AnswerLeadTimeOptions options);

  // An answer had left `finish` after it was decided on.
  void OnSent(Duration send_time);

  // For an answer of so many parts.
  Duration Get(size_t part_count) const;

 private:
  static constexpr size_t kSampleCount = 16;

  AnswerLeadTimeOptions options;
  // The last ones seen; the longest of them is planned for.
  std::array<Duration, kSampleCount> samples;
  size_t next_sample = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ANSWER_LEAD_TIME_H_
