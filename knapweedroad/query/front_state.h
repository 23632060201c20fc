// The state that all queries and record reads of one front share on one host:
// recorded latencies and the budgets of hedges and retries.
//
//   FrontState state(front);
//   QueryRun run({.front = front, .state = state, ...});

#ifndef KNAPWEEDROAD_QUERY_FRONT_STATE_H_
#define KNAPWEEDROAD_QUERY_FRONT_STATE_H_

#include "knapweedroad/config/front_config.h"
#include "knapweedroad/query/latency_tracker.h"
#include "knapweedroad/query/token_budget.h"

namespace knapweedroad {

struct FrontState {
  explicit FrontState(const FrontConfig& front)
      : hedge_budget({.share = front.hedge_budget}),
        retry_budget({.share = front.retry_budget}) {}

  // While overloaded, no hedges and retries are sent and no latencies are
  // recorded. Otherwise the queueing times of an overload would stay in the
  // quantiles and delay hedges for minutes after it has ended.
  void SetOverloaded(bool overloaded) {
    this->is_overloaded = overloaded;
    this->hedge_budget.SetSuspended(overloaded);
    this->retry_budget.SetSuspended(overloaded);
  }

  // Records the latency of a target of `service` in `zone`. Does nothing while
  // overloaded.
  void RecordLatency(const ServiceId& service,
                     const ZoneId& zone,
                     Duration latency) {
    if (!this->is_overloaded) {
      this->latencies.Record(service, zone, latency);
    }
  }

  LatencyTracker latencies;
  TokenBudget hedge_budget;
  TokenBudget retry_budget;
  bool is_overloaded = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_FRONT_STATE_H_
