// Records outcomes of requests to targets until they are reported, separately
// for each control host that receives reports.
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
  // The maximum number of targets in a report. At the default, a packed report
  // is about 1 KB: one call a second to each of two control hosts uses 2 of the
  // 3 KB/s that a host may spend on control traffic.
  size_t max_reported_targets = 64;
  // A target with more attempts than this between two reports is left out: this
  // host detects its state alone, and so does every other host with a similar
  // load.
  uint32_t max_attempts_per_target = 50;
};

class OutcomeRecorder {
 public:
  explicit OutcomeRecorder(OutcomeRecorderOptions options = {})
      : options(options) {}

  // Adds the outcomes to the next report for every control host.
  void Count(const TargetOutcomes& outcomes);

  // Returns the outcomes not yet reported to `control_host`. The first call for
  // a host returns nothing. Outcomes beyond the maximum size stay for the next
  // call.
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
