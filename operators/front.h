// A front: an entry point for callers, which either searches all its services
// or reads records from its one service.
//
//   Front(SearchFrontOptions{
//       .name = "redactie",
//       .deadlines = Deadlines({.default_deadline = 400ms,
//                               .max_deadline = 2s}),
//       .policy = TailPolicy{.latency_target = 120ms,
//                            .minimum_coverage = Fraction(0.8)},
//       .tenants = {Tenant{.name = "editors"}},
//       .generations = {Generation{...}}})
//
// Each kind has only the options that apply to it.

#ifndef OPERATORS_FRONT_H_
#define OPERATORS_FRONT_H_

#include <utility>
#include <variant>

#include "operators/deadlines.h"
#include "operators/fraction.h"
#include "operators/generation.h"
#include "operators/name.h"
#include "operators/one_or_more.h"
#include "operators/positive_duration.h"
#include "operators/quantile.h"
#include "operators/service.h"
#include "operators/tenant.h"

namespace knapweedroad::operators {

inline constexpr Fraction kNoMinimumCoverage(0.0);
inline constexpr Quantile kDefaultHedgeQuantile(0.95);
inline constexpr Fraction kDefaultHedgeBudget(0.05);
inline constexpr Fraction kDefaultRetryBudget(0.1);

// Answers once the latency target has passed and the coverage has reached the
// minimum, without waiting for the rest. Below the minimum it waits on, at most
// until the deadline.
struct TailPolicy {
  PositiveDuration latency_target;
  // A request that can't reach this coverage by its deadline is refused.
  Fraction minimum_coverage = kNoMinimumCoverage;
};

// Waits for full coverage, at most until the deadline.
struct CoveragePolicy {
  Fraction minimum_coverage = kNoMinimumCoverage;
};

// Limits on the hedges and retries that a front sends to its targets.
struct ExtraAttemptLimits {
  // A sub-request that takes longer than this quantile of its service's own
  // latencies is hedged.
  Quantile hedge_quantile = kDefaultHedgeQuantile;
  // Maximum hedges and retries, as fractions of the first attempts.
  Fraction hedge_budget = kDefaultHedgeBudget;
  Fraction retry_budget = kDefaultRetryBudget;
};

// Options of a front that sends each query to all its services.
struct SearchFrontOptions {
  Name name;
  Deadlines deadlines;
  std::variant<TailPolicy, CoveragePolicy> policy;
  ExtraAttemptLimits extra_attempt_limits = {};
  OneOrMore<Tenant> tenants;
  OneOrMore<Generation> generations;
};

// Options of a front that reads one record per request, from one searcher of
// its only service.
struct RecordsFrontOptions {
  Name name;
  Deadlines deadlines;
  ExtraAttemptLimits extra_attempt_limits = {};
  OneOrMore<Tenant> tenants;
  Service service;
};

class Front {
 public:
  using Options = std::variant<SearchFrontOptions, RecordsFrontOptions>;

  explicit Front(SearchFrontOptions options) : options(std::move(options)) {}
  explicit Front(RecordsFrontOptions options) : options(std::move(options)) {}

  const Options& value() const { return this->options; }

 private:
  Options options;
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_FRONT_H_
