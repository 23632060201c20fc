// What the end of an attempt says of its target, told to the load balancer.

#ifndef KNAPWEEDROAD_EDGE_TARGET_OUTCOME_H_
#define KNAPWEEDROAD_EDGE_TARGET_OUTCOME_H_

#include <cstdint>
#include <string_view>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class LoadBalancer;
struct TargetReply;

// What an attempt's end means for the run.
enum class AttemptOutcome : uint8_t {
  kAnswer,
  kFailure,    // the target answered that it failed
  kNeverSent,  // no byte of it reached the target
  kDeclined,   // the target says that it did not run it
  kBroken,     // it may have run
};

struct TargetOutcome {
  AttemptOutcome outcome = AttemptOutcome::kBroken;
  // Why it isn't an answer, for the log of attempts; empty for an answer.
  std::string_view word;
  // A success, and not a failure that is the caller's own.
  bool is_served = false;
  // Another target answered: what it said is nothing of this one.
  bool is_other_target = false;
};

// Tells the load balancer how an attempt that was OnSent() ended.
TargetOutcome LearnOutcome(LoadBalancer& balancer,
                           const TargetId& target,
                           const TargetReply& reply,
                           bool is_scatter,
                           Duration took,
                           TimePoint now);

// The same of an attempt that nobody waited for any more.
void LearnReleased(LoadBalancer& balancer,
                   const TargetId& target,
                   const TargetReply& reply,
                   Duration since_sent,
                   TimePoint now);

// Whether a reply that nobody waited for is an answer all the same.
bool IsAnswer(const TargetReply& reply);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_TARGET_OUTCOME_H_
