// What the queries of one front share on one host: measured latencies and the
// budgets of extra attempts.
//
//   FrontState state(front);
//   QueryRun run({.front = front, .state = state, ...});

#ifndef KNAPWEEDROAD_QUERY_FRONT_STATE_H_
#define KNAPWEEDROAD_QUERY_FRONT_STATE_H_

#include "knapweedroad/config/front_config.h"
#include "knapweedroad/query/latency_book.h"
#include "knapweedroad/query/token_budget.h"

namespace knapweedroad {

struct FrontState {
  explicit FrontState(const FrontConfig& front)
      : hedges({.share = front.hedge_budget}),
        retries({.share = front.retry_budget}) {}

  // Under overload there are neither hedges nor retries.
  void SetOverloaded(bool overloaded) {
    this->hedges.SetSuspended(overloaded);
    this->retries.SetSuspended(overloaded);
  }

  LatencyBook latencies;
  TokenBudget hedges;
  TokenBudget retries;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_FRONT_STATE_H_
