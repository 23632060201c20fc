// A search front: what operators create, and what callers ask.

#ifndef KNAPWEEDROAD_CONFIG_FRONT_CONFIG_H_
#define KNAPWEEDROAD_CONFIG_FRONT_CONFIG_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/generation_config.h"
#include "knapweedroad/config/service_config.h"
#include "knapweedroad/config/tenant_config.h"

namespace knapweedroad {

// `kSearch` scatters a query over all services; `kRecords` asks one target
// for one record.
enum class FrontKind : uint8_t { kSearch, kRecords };

// What a front gives up first when it can't have both: `kTail` answers with
// the coverage it has as soon as its tail is at risk, `kCoverage` waits for
// coverage until the deadline.
enum class AnswerPolicy : uint8_t { kTail, kCoverage };

struct FrontConfig {
  FrontId name;
  FrontKind kind = FrontKind::kSearch;
  AnswerPolicy policy = AnswerPolicy::kCoverage;
  // The deadline of a caller that names none, and the longest one it may name.
  Duration default_deadline{};
  Duration max_deadline{};
  // Under `kTail`: the time after which an answer that covers at least
  // `minimum_coverage` is sent without the rest.
  Duration tail_target{};
  // From 0 to 1: below this an answer is a refusal instead.
  double minimum_coverage = 0.0;
  // A sub-request is hedged once it has taken longer than this quantile
  // (between 0 and 1) of its service's own latencies.
  double hedge_quantile = 0.95;
  // Hedges and retries, each as a share (0 to 1) of first tries.
  double hedge_budget = 0.05;
  double retry_budget = 0.1;
  std::vector<TenantConfig> tenants;
  std::vector<ServiceConfig> services;
  // Of a search front: at least one, each with a number of its own. A records
  // front has none: it reads one record, which lies in no partition.
  std::vector<GenerationConfig> generations;

  friend bool operator==(const FrontConfig&, const FrontConfig&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_FRONT_CONFIG_H_
