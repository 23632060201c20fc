// A front, of one of two kinds.
//
//   Front(SearchFrontOptions{
//       .name = "redactie",
//       .deadlines = Deadlines({.standard = 400ms, .maximum = 2s}),
//       .policy = TailPolicy{.target = 120ms, .minimum_coverage = Share(0.8)},
//       .tenants = {Tenant{.name = "editors"}},
//       .generations = {Generation{...}}})
//
// Each kind has just the options that mean something for it.

#ifndef OPERATORS_FRONT_H_
#define OPERATORS_FRONT_H_

#include <utility>
#include <variant>

#include "operators/deadlines.h"
#include "operators/generation.h"
#include "operators/name.h"
#include "operators/one_or_more.h"
#include "operators/positive_duration.h"
#include "operators/quantile.h"
#include "operators/service.h"
#include "operators/share.h"
#include "operators/tenant.h"

namespace knapweedroad::operators {

inline constexpr Share kNoShare(0.0);
inline constexpr Quantile kHedgeQuantile(0.95);
inline constexpr Share kHedgeBudget(0.05);
inline constexpr Share kRetryBudget(0.1);

// Answers as soon as the target time is over, with the coverage it has.
struct TailPolicy {
  PositiveDuration target;
  // Below this an answer is a refusal.
  Share minimum_coverage = kNoShare;
};

// Waits for coverage until the deadline.
struct CoveragePolicy {
  Share minimum_coverage = kNoShare;
};

// The extra work that a front may put on its targets.
struct ExtraWork {
  // A sub-request that takes longer than this quantile of its service's own
  // latencies is hedged.
  Quantile hedge_quantile = kHedgeQuantile;
  // Shares of first tries.
  Share hedge_budget = kHedgeBudget;
  Share retry_budget = kRetryBudget;
};

// Scatters a query over all its services.
struct SearchFrontOptions {
  Name name;
  Deadlines deadlines;
  std::variant<TailPolicy, CoveragePolicy> policy;
  ExtraWork extra_work = {};
  OneOrMore<Tenant> tenants;
  OneOrMore<Generation> generations;
};

// Asks one searcher of its one service for one record.
struct RecordsFrontOptions {
  Name name;
  Deadlines deadlines;
  ExtraWork extra_work = {};
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
