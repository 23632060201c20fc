#include "knapweedroad/edge/request_gathers.h"

#include <criterion/criterion.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/connection_warmer.h"
#include "knapweedroad/edge/entry_metrics.h"
#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/gather_links.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/loss_sharing.h"
#include "knapweedroad/edge/request_admission.h"
#include "knapweedroad/edge/run_hooks.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/query_of_death_detector.h"
#include "knapweedroad/routing/relay_choice.h"
#include "knapweedroad/routing/route_table.h"
#include "knapweedroad/routing/weighted_round_robin.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kShards = 48;
constexpr size_t kTargetsPerShard = 4;
const ZoneId kZone("a");
// Some cases go by the clock: a fixed time may lie ahead of it.
const TimePoint kStart = Runtime::Now();

// An entry host of a zone with many others, and shards of four targets in it.
struct Host {
  explicit Host(size_t zone_hosts) {
    RoutingConfig config{.version = 1};
    for (size_t i = 0; i < kShards; ++i) {
      const ServiceId service("s" + std::to_string(i));
      this->services.push_back(service);
      config.services.push_back({.name = service, .max_connections = 100});
      for (size_t j = 0; j < kTargetsPerShard; ++j) {
        this->balancer.UpdateTarget(
            {.id = TargetId(service.str() + "-" + std::to_string(j)),
             .service = service,
             .zone = kZone,
             .address = {"127.0.0.1", 1},
             .slots = 2,
             .started_ms = 1,
             .sequence = 1},
            kStart);
      }
    }
    this->balancer.SetRouting(std::make_shared<RouteTable>(config));
    std::vector<EntryHostRecord> hosts;
    for (size_t i = 0; i < zone_hosts; ++i) {
      hosts.push_back({.host = HostId("e" + std::to_string(i)),
                       .zone = kZone,
                       .peer_address = {"127.0.0.1", 1}});
    }
    this->parts.coordinators.SetHosts(hosts);
    this->route.is_scatter = true;
    this->route.latency_target = milliseconds(100);
  }

  RequestGathers MakeGathers(TimePoint now) {
    return RequestGathers({.parts = this->parts,
                           .route = this->route,
                           .memory = this->memory,
                           .request = this->request,
                           .services = this->services},
                          now);
  }

  // First attempts of all shards.
  std::vector<AttemptStart> Starts() const {
    std::vector<AttemptStart> starts;
    for (uint32_t i = 0; i < kShards; ++i) {
      starts.push_back({.attempt = i,
                        .service_index = i,
                        .target = TargetId(this->services[i].str() + "-0")});
    }
    return starts;
  }

  Runtime runtime;
  HeaderNames names;
  LoadBalancer balancer{
      LoadBalancerOptions{.self = HostId("self"), .zone = kZone}};
  TargetLinks links{
      runtime,
      {.header_names = names, .on_idle_closed = [](const TargetId&) {}}};
  RelayChoice relays{{.self = HostId("self"), .zone = kZone}};
  GatherLinks gather_links{runtime, relays};
  QueryOfDeathDetector detector{{}};
  LossSharing loss_sharing{runtime, {.detector = detector}};
  WeightedRoundRobin rotation;
  EntryMetrics metrics;
  RequestAdmission admission{{}};
  EntryParts parts{
      .runtime = runtime,
      .header_names = names,
      .balancer = balancer,
      .links = links,
      .metrics = metrics,
      .admission = admission,
      .rotation = rotation,
      .started = kStart,
      .shedding = ShardShedding({.seed = 1}),
      .sampler = AnswerSampler({.host = HostId("self"), .epoch = 1}),
      .relays = relays,
      .gather_links = gather_links,
      .detector = detector,
      .loss_sharing = loss_sharing,
      .self = HostId("self")};
  std::vector<ServiceId> services;
  RouteConfig route;
  RouteMemory memory;
  CallerRequest request;
};

// Load pattern: many hosts that each see a scatter now and then. Guards against
// connections that each host would open for each of its parts.
Test(request_gathers, a_host_with_few_scatters_has_coordinators_gather) {
  Host host(100);
  RequestGathers gathers = host.MakeGathers(kStart);
  cr_expect(gathers.uses_coordinators());
  std::vector<AttemptStart> starts = host.Starts();
  const auto groups = gathers.Split(starts, /*may_merge=*/true, kStart);
  cr_expect(starts.empty());
  cr_expect(groups.size() == 3, "%zu", groups.size());
  std::set<HostId> coordinators;
  size_t gathered = 0;
  for (const GatherGroup& group : groups) {
    coordinators.insert(group.relay.host);
    gathered += group.starts.size();
  }
  cr_expect(coordinators.size() == 3);
  cr_expect(gathered == kShards);
}

// Guards against a hedge that goes through the host whose reply is late.
Test(request_gathers, a_hedge_goes_through_another_coordinator) {
  Host host(100);
  RequestGathers gathers = host.MakeGathers(kStart);
  std::vector<AttemptStart> starts = host.Starts();
  std::set<HostId> used;
  for (const auto& group : gathers.Split(starts, true, kStart)) {
    used.insert(group.relay.host);
  }
  std::vector<AttemptStart> hedge = {
      {.attempt = 60, .service_index = 5, .target = TargetId("s5-1")}};
  const auto groups = gathers.Split(hedge, /*may_merge=*/false, kStart);
  cr_assert(groups.size() == 1);
  cr_expect(!used.contains(groups.front().relay.host));
}

// Guards against a detour on hosts whose own connections are in use.
Test(request_gathers, a_host_with_many_scatters_sends_by_itself) {
  Host host(100);
  for (int i = 0; i < 10; ++i) {
    host.MakeGathers(kStart + seconds(i));
  }
  RequestGathers busy = host.MakeGathers(kStart + seconds(10));
  cr_expect(!busy.uses_coordinators());
  std::vector<AttemptStart> starts = host.Starts();
  cr_expect(busy.Split(starts, true, kStart + seconds(10)).empty());
  cr_expect(starts.size() == kShards);
  cr_expect(host.MakeGathers(kStart + seconds(60)).uses_coordinators());
}

// Guards against a small deployment that behaves unlike before.
Test(request_gathers, the_hosts_of_a_small_zone_send_by_themselves) {
  Host host(4);
  RequestGathers gathers = host.MakeGathers(kStart);
  std::vector<AttemptStart> starts = host.Starts();
  cr_expect(gathers.Split(starts, true, kStart).empty());
  cr_expect(starts.size() == kShards);
}

// Guards against a coordinator whose connections are opened by the scatters
// that need them, and against connections to targets that nobody asks for.
Test(connection_warmer, connects_to_targets_of_services_in_use, .timeout = 60) {
  Host host(100);
  HttpServer server(host.runtime,
                    {.endpoint = {"127.0.0.1", 0},
                     .handler = [](const HttpRequest&, HttpExchange&) {
                       return HttpResponse{};
                     }});
  const TargetId target("listening");
  host.balancer.UpdateTarget({.id = target,
                              .service = host.services.front(),
                              .zone = kZone,
                              .address = {"127.0.0.1", server.Start().value()},
                              .slots = 2,
                              .started_ms = 1,
                              .sequence = 1},
                             Runtime::Now());
  ConnectionWarmer warmer({.parts = host.parts, .zone = kZone});
  warmer.Tick(Runtime::Now());
  cr_expect(host.links.opened() == 0);
  warmer.OnGathered(host.services.front(), Runtime::Now());
  warmer.Tick(Runtime::Now() + seconds(1));
  cr_expect(host.links.opened() == kTargetsPerShard + 1);
  while (!host.links.has_idle(target)) {
    Runtime::SleepFor(milliseconds(1));
  }
  warmer.Tick(Runtime::Now() + seconds(30));
  cr_expect(host.links.opened() == kTargetsPerShard + 1);
}

// Load pattern: two classes at one target with a single place. Guards against a
// place that goes to whoever tries first.
Test(run_hooks, a_free_place_goes_to_the_most_urgent_request) {
  Host host(4);
  host.parts.waiting.SetEnabled(true);
  const RequestGathers gathers = host.MakeGathers(Runtime::Now());
  const auto hooks_of = [&](uint64_t id, uint32_t priority) {
    return MakeRunHooks({.parts = host.parts,
                         .gathers = gathers,
                         .services = host.services,
                         .waiter = {.id = id,
                                    .priority = priority,
                                    .deadline = Runtime::Now() + seconds(9)}});
  };
  const RunHooks urgent = hooks_of(1, 0);
  const RunHooks other = hooks_of(2, 1);
  const ServiceId& service = host.services.front();
  // All places of the service are taken.
  std::vector<TargetId> taken;
  while (const auto target = other.pick_target(service, {})) {
    taken.push_back(*target);
    host.balancer.OnSent(*target, Runtime::Now());
  }
  cr_expect(!urgent.pick_target(service, {}));
  cr_expect(!other.spend_extra_attempt(service, /*is_hedge=*/true));
  host.balancer.OnAnswered(taken.front(), milliseconds(5), std::nullopt,
                           Runtime::Now());
  cr_expect(!other.pick_target(service, {}));
  cr_expect(urgent.pick_target(service, {}).has_value());
}

}  // namespace
}  // namespace knapweedroad
