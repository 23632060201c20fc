// Limits extra attempts (hedges or retries) to a share of first attempts.
//
//   TokenBudget hedges({.share = 0.05});
//   hedges.OnFirstAttempt();
//   if (hedges.TryTake()) SendHedge();

#ifndef KNAPWEEDROAD_QUERY_TOKEN_BUDGET_H_
#define KNAPWEEDROAD_QUERY_TOKEN_BUDGET_H_

namespace knapweedroad {

struct TokenBudgetOptions {
  // Extra attempts per first attempt, in the long run.
  double share = 0.05;
  // The most tokens that can be saved up, and the number at the start. An extra
  // attempt costs one token.
  double burst = 10.0;
};

// A token bucket that each first attempt refills by `share`. It bounds the load
// that extra attempts add while targets are slow. Without a bound, each slow
// reply would cause more attempts, which make replies slower still, and the
// overload would persist after its cause has gone.
class TokenBudget {
 public:
  explicit TokenBudget(TokenBudgetOptions options);

  // Adds `share` tokens, up to `burst`. Does nothing while suspended.
  void OnFirstAttempt();

  // Returns true if one extra attempt may be sent now. Half of `burst` is
  // reserved for urgent attempts.
  bool CanTake(bool urgent = true) const;

  // Takes one token, also a reserved one. Returns false and takes nothing if
  // CanTake() is false.
  bool TryTake();

  // Returns one token, up to `burst`, for an extra attempt that did not run.
  void Refund();

  // While suspended, no token can be taken and OnFirstAttempt() adds none.
  void SetSuspended(bool suspended);
  bool suspended() const { return this->is_suspended; }

 private:
  TokenBudgetOptions options;
  double tokens;
  bool is_suspended = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_TOKEN_BUDGET_H_
