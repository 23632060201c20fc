// What the entry hosts of a zone report of targets, at one of its control
// hosts: passed on to the zone's other control hosts, and judged.
//
//   OutcomeCollector collector;
//   collector.Add(report, now);                    // came with a watch call
//   TimePoint due = collector.AddUrgent(report, now);
//   if (collector.Judge(service_of, now)) TellFollowers();   // when due
//
// Answers the pattern of targets that begin to fail under many hosts: each host
// reports a failure at once, and the reports of all of a zone's hosts count
// together whichever control host they reach.

#ifndef KNAPWEEDROAD_REGISTRY_OUTCOME_COLLECTOR_H_
#define KNAPWEEDROAD_REGISTRY_OUTCOME_COLLECTOR_H_

#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/outcome_recorder.h"
#include "knapweedroad/registry/outlier_detector.h"
#include "knapweedroad/registry/target_outcomes.h"

namespace knapweedroad {

class OutcomeCollector {
 public:
  OutcomeCollector();

  void Add(const OutcomeReport& report, TimePoint now);
  // The same for a report that didn't wait for the next call. Returns when it
  // is to be judged: at once, unless a judgement was made a moment ago.
  TimePoint AddUrgent(const OutcomeReport& report, TimePoint now);

  // Makes the lists of outliers anew; true: they have changed.
  bool Evaluate(const OutlierDetector::ServiceOf& service_of, TimePoint now);

  // What entry hosts have reported here and that control host of the zone
  // hasn't heard yet.
  std::vector<TargetOutcomes> TakeUnforwarded(const HostId& control_host,
                                              TimePoint now);

  OutlierDetector& detector() { return this->outlier_detector; }
  const OutlierDetector& detector() const { return this->outlier_detector; }

 private:
  OutlierDetector outlier_detector;
  OutcomeRecorder recorder;
  TimePoint last_evaluation;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_OUTCOME_COLLECTOR_H_
