#include "knapweedroad/edge/run_hooks.h"

#include <cstddef>
#include <optional>
#include <span>

#include "knapweedroad/edge/entry_metrics.h"
#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/request_gathers.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/load_balancer.h"

namespace knapweedroad {
namespace {

// Picks a target for an attempt. A first attempt lets the requests that wait
// for the service and come before it go first; later ones, which wait for
// nobody, go as they come.
std::optional<TargetId> PickInOrder(EntryParts& parts,
                                    const RequestGathers& gathers,
                                    const WaitingRequest& waiter,
                                    const ServiceId& service,
                                    std::span<const TargetId> tried) {
  const TimePoint now = Runtime::Now();
  const bool is_first = tried.empty();
  if (is_first && !parts.waiting.IsNext(service, waiter, now)) {
    parts.waiting.Wait(service, waiter, now);
    return std::nullopt;
  }
  std::optional<TargetId> target = parts.balancer.Pick(
      service, tried, now,
      {.zones = gathers.near_zones(),
       .is_sent_by_other_host = gathers.uses_coordinators()});
  if (!is_first) {
    return target;
  }
  if (target) {
    parts.waiting.OnStarted(service, waiter, now);
  } else if (parts.balancer.IsServed(service, now)) {
    parts.waiting.Wait(service, waiter, now);
  }
  return target;
}

}  // namespace

RunHooks MakeRunHooks(const RunHooksOptions& options) {
  EntryParts* const parts = &options.parts;
  const RequestGathers* const gathers = &options.gathers;
  const std::vector<ServiceId>* const services = &options.services;
  RunHooks hooks;
  hooks.pick_target = [parts, gathers, waiter = options.waiter](
                          const ServiceId& service,
                          std::span<const TargetId> tried) {
    return PickInOrder(*parts, *gathers, waiter, service, tried);
  };
  hooks.has_untried_target = [parts, waiter = options.waiter](
                                 const ServiceId& service,
                                 std::span<const TargetId> tried) {
    const TimePoint now = Runtime::Now();
    return parts->balancer.IsServed(service, now, tried) &&
           !(tried.empty() && parts->waiting.IsHopeless(service, waiter, now));
  };
  hooks.spend_extra_attempt = [parts, priority = options.waiter.priority](
                                  const ServiceId& service, bool is_hedge) {
    const TimePoint now = Runtime::Now();
    if (is_hedge && parts->waiting.HasWaiterOf(service, priority, now)) {
      parts->metrics.CountExtra(false);
      return false;
    }
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
