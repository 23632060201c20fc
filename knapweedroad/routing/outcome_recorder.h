// What this entry host has seen of targets and not reported yet, for each
// control host that it reports to.
//
//   OutcomeRecorder recorder;
//   recorder.Count({.target = id, .answered = 1});
//   std::vector<TargetOutcomes> report = recorder.Take(control_host, now);

#ifndef KNAPWEEDROAD_ROUTING_OUTCOME_RECORDER_H_
#define KNAPWEEDROAD_ROUTING_OUTCOME_RECORDER_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/target_outcomes.h"

namespace knapweedroad {

class OutcomeRecorder {
 public:
  // Adds to what every control host is still to hear.
  void Count(const TargetOutcomes& seen);

  // What `control_host` hasn't heard; the first call gives nothing. A part of
  // it where there is more than a report holds: the rest comes with the next.
  std::vector<TargetOutcomes> Take(const HostId& control_host, TimePoint now);

 private:
  struct Pending {
    std::unordered_map<TargetId, TargetOutcomes> targets;
    TimePoint taken;
  };

  std::map<HostId, Pending> pending;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_OUTCOME_RECORDER_H_
