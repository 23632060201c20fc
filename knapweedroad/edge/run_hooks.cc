#include "knapweedroad/edge/run_hooks.h"

#include <cstddef>
#include <span>

#include "knapweedroad/edge/entry_metrics.h"
#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/request_gathers.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/load_balancer.h"

namespace knapweedroad {

RunHooks MakeRunHooks(const RunHooksOptions& options) {
  EntryParts* const parts = &options.parts;
  const RequestGathers* const gathers = &options.gathers;
  const std::vector<ServiceId>* const services = &options.services;
  RunHooks hooks;
  hooks.pick_target = [parts, gathers](const ServiceId& service,
                                       std::span<const TargetId> tried) {
    return parts->balancer.Pick(service, tried, Runtime::Now(),
                                {.zones = gathers->near_zones(),
                                 .is_sent_by_other_host =
                                     gathers->uses_coordinators()});
  };
  hooks.has_untried_target = [parts](const ServiceId& service,
                                     std::span<const TargetId> tried) {
    return parts->balancer.IsServed(service, Runtime::Now(), tried);
  };
  hooks.spend_extra_attempt = [parts](const ServiceId& service, bool is_hedge) {
    const TimePoint now = Runtime::Now();
    const size_t hosts = parts->balancer.entry_host_count();
    RetryBudget& budget = parts->BudgetOf(service);
    const bool sent = is_hedge ? budget.SpendHedge(hosts, now)
                               : budget.SpendRetry(hosts, now);
    parts->metrics.CountExtra(sent);
    return sent;
  };
  hooks.choose_shards_to_skip = [parts, services](size_t max_shards) {
    return parts->shedding.ChooseShardsToSkip(*services, max_shards,
                                              Runtime::Now());
  };
  if (options.is_fresh) {
    hooks.on_part = [parts](const ServiceId& service, bool in_time) {
      parts->shedding.OnPart(service, in_time, Runtime::Now());
    };
  }
  return hooks;
}

}  // namespace knapweedroad
