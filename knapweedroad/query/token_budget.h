// Extra attempts as a share of first tries.
//
//   TokenBudget hedges({.share = 0.05});
//   hedges.OnFirstAttempt();
//   if (hedges.TryTake()) SendHedge();

#ifndef KNAPWEEDROAD_QUERY_TOKEN_BUDGET_H_
#define KNAPWEEDROAD_QUERY_TOKEN_BUDGET_H_

namespace knapweedroad {

struct TokenBudgetOptions {
  // Extra attempts for each first try, in the long run.
  double share = 0.05;
  // Extra attempts that may be saved up; also what it starts with.
  double burst = 10.0;
};

// Guards against the load that extra attempts bring when targets are slow:
// each slow answer would cause more attempts, which make answers slower, and
// the front would stay overloaded after the cause has gone.
class TokenBudget {
 public:
  explicit TokenBudget(TokenBudgetOptions options);

  void OnFirstAttempt();

  // Whether one extra attempt may be sent now. One that isn't urgent leaves
  // half of what can be saved up to those that are.
  bool CanTake(bool urgent = true) const;

  // CanTake(); if so it is counted.
  bool TryTake();

  // What was taken has not run.
  void Refund();

  // While suspended nothing can be taken and nothing is saved up.
  void SetSuspended(bool suspended);
  bool suspended() const { return this->is_suspended; }

 private:
  TokenBudgetOptions options;
  double tokens;
  bool is_suspended = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_TOKEN_BUDGET_H_
