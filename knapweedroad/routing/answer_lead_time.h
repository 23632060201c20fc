// The time from the decision on an answer until the caller has received it.
//
//   AnswerLeadTime lead_time({});
//   TimePoint decide_at = due_at - lead_time.Get(part_count);
//   lead_time.OnSent(sent_at - decided_at);

#ifndef KNAPWEEDROAD_ROUTING_ANSWER_LEAD_TIME_H_
#define KNAPWEEDROAD_ROUTING_ANSWER_LEAD_TIME_H_

#include <array>
#include <cstddef>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct AnswerLeadTimeOptions {
  // The network time from the caller to this host and back.
  Duration round_trip = std::chrono::milliseconds(8);
  // What each part of an answer adds to that. The seal and records of a part
  // take time on a slow link, and parts that arrive together are read one after
  // another.
  Duration time_per_part = std::chrono::microseconds(50);
  // The most that all parts together add: hosts that ask thousands of shards
  // are fast.
  Duration max_parts_time = std::chrono::milliseconds(4);
  // The send time that is assumed until one is measured: the time from the
  // decision on an answer until this host has sent it.
  Duration initial_send_time = std::chrono::milliseconds(3);
  // The longest send time that is planned for. A process that was stalled for
  // seconds doesn't answer that much earlier from then on.
  Duration max_send_time = std::chrono::milliseconds(15);
};

// Plans for the longest of the last send times. Merging and writing an answer
// takes milliseconds on a host with a small share of a processor. Without a
// lead time, an answer that waits for its last part is late and still lacks it.
class AnswerLeadTime {
 public:
  explicit AnswerLeadTime(AnswerLeadTimeOptions options);

  // Records that an answer was sent `send_time` after the decision on it.
  void OnSent(Duration send_time);

  // Returns the lead time of an answer of `part_count` parts: the round trip,
  // the time of the parts and the longest of the last send times.
  Duration Get(size_t part_count) const;

 private:
  static constexpr size_t kSampleCount = 16;

  AnswerLeadTimeOptions options;
  // The last send times, as a ring buffer.
  std::array<Duration, kSampleCount> samples;
  size_t next_sample = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ANSWER_LEAD_TIME_H_
