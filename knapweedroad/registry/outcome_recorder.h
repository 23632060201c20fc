// What this entry host has seen of targets and not reported yet, for each
// control host that it reports to.
//
//   OutcomeRecorder recorder;
//   recorder.Count({.target = id, .answered = 1});
//   std::vector<TargetOutcomes> report = recorder.Take(control_host, now);

#ifndef KNAPWEEDROAD_REGISTRY_OUTCOME_RECORDER_H_
#define KNAPWEEDROAD_REGISTRY_OUTCOME_RECORDER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/target_outcomes.h"

namespace knapweedroad {

struct OutcomeRecorderOptions {
  // A report's size. At the default, packed, about 1 KB: a call a second to two
  // control hosts is 2 of the 3 KB/s that a host may spend on control.
  size_t max_reported_targets = 64;
  // A target asked more often than this between two reports is left out: the
  // host knows enough by itself, and so does every other one of its load.
  uint32_t max_attempts_per_target = 50;
};

class OutcomeRecorder {
 public:
  explicit OutcomeRecorder(OutcomeRecorderOptions options = {})
      : options(options) {}

  // Adds to what every control host is still to hear.
  void Count(const TargetOutcomes& outcomes);

  // What `control_host` hasn't heard; the first call gives nothing. A part of
  // it where there is more than a report holds: the rest comes with the next.
  std::vector<TargetOutcomes> Take(const HostId& control_host, TimePoint now);

 private:
  struct Pending {
    std::unordered_map<TargetId, TargetOutcomes> targets;
    TimePoint last_taken;
  };

  OutcomeRecorderOptions options;
  std::map<HostId, Pending> pending;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_OUTCOME_RECORDER_H_
