// How long before an answer is due at the caller it has to be decided on.
//
//   AnswerLead lead({});
//   TimePoint decide_at = due - lead.Get(parts);
//   lead.OnSent(finished - decided);

#ifndef KNAPWEEDROAD_ROUTING_ANSWER_LEAD_H_
#define KNAPWEEDROAD_ROUTING_ANSWER_LEAD_H_

#include <array>
#include <cstddef>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct AnswerLeadOptions {
  // The way to the caller and back.
  Duration way = std::chrono::milliseconds(8);
  // What each part of an answer adds to that: its proof and records are bytes
  // on a slow link, and parts that come together are read one after another.
  Duration part = std::chrono::microseconds(50);
  // Of all parts together: hosts that ask thousands of shards are fast.
  Duration longest_parts = std::chrono::milliseconds(4);
  // What finishing an answer is taken to cost until that is known.
  Duration first_finish = std::chrono::milliseconds(3);
  // A host that stood still for seconds doesn't plan for that.
  Duration longest_finish = std::chrono::milliseconds(15);
};

// Merging and writing an answer takes milliseconds on a host with a small share
// of a processor: without a lead, an answer that waits for its last part is
// late and still lacks it.
class AnswerLead {
 public:
  explicit AnswerLead(AnswerLeadOptions options);

  // An answer had left `finish` after it was decided on.
  void OnSent(Duration finish);

  // For an answer of so many parts.
  Duration Get(size_t parts) const;

 private:
  static constexpr size_t kRemembered = 16;

  AnswerLeadOptions options;
  // The last ones seen; the longest of them is planned for.
  std::array<Duration, kRemembered> seen;
  size_t next = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_ANSWER_LEAD_H_
