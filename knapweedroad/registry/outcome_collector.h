// Collects, at one control host, the outcomes of requests to targets that the
// entry hosts of its zone report. Forwards them to the other control hosts of
// the zone and evaluates them.
//
//   OutcomeCollector collector;
//   collector.Add(report, now);  // received with a watch call
//   TimePoint due = collector.AddUrgent(report, now);
//   if (collector.Evaluate(service_of, now)) NotifyFollowers();  // when due
//
// Detects targets that start to fail for many hosts. Each host reports a
// failure at once, and the reports of all hosts of a zone are summed whichever
// control host receives them.

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
  // Adds a report that an entry host sent between two watch calls. Returns when
  // it is to be evaluated: at once, unless the last evaluation was a moment
  // ago.
  TimePoint AddUrgent(const OutcomeReport& report, TimePoint now);

  // Recomputes the lists of outliers. Returns true if the list for followers
  // changed.
  bool Evaluate(const OutlierDetector::ServiceOf& service_of, TimePoint now);

  // Returns the outcomes that entry hosts reported here and that have not been
  // forwarded to `control_host` yet. The first call for a host returns nothing.
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
