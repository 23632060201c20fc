#include "knapweedroad/edge/entry_host.h"

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/caller_server.h"
#include "knapweedroad/edge/control_follower.h"
#include "knapweedroad/edge/entry_metrics.h"
#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/entry_request.h"
#include "knapweedroad/edge/gather_calls.h"
#include "knapweedroad/edge/gather_links.h"
#include "knapweedroad/edge/gather_relay.h"
#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/edge/rollout_reporter.h"
#include "knapweedroad/edge/routing_in_force.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/edge/target_news.h"
#include "knapweedroad/edge/target_prober.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/peer_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/registry/outcome_recorder.h"
#include "knapweedroad/routing/entry_host_lists.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/relay_choice.h"
#include "knapweedroad/routing/route_table.h"
#include "knapweedroad/routing/split_rotation.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(100);
// A tick this late means that the process stood still.
constexpr Duration kStandstill = milliseconds(400);
// Ticks between rounds over all callers' connections.
constexpr int kSweepTicks = 5;
// From "not ready" until the platform sends no new connections: two of its
// questions, a second apart, and some slack.
constexpr Duration kBalancerNotice = milliseconds(2600);
// Kept of the grace at a stop for leaving in order.
constexpr Duration kStopMargin = milliseconds(500);

void LogHealthChange(const TargetHealthChange& health) {
  LogLine("target_health")
      .Add("target", health.target)
      .Add("health", health.health)
      .Add("cause", health.cause)
      .Add("span_ms", std::chrono::floor<milliseconds>(health.span).count())
      .Info();
}

uint64_t RandomSeed() {
  std::random_device device;
  return device();
}

}  // namespace

struct EntryHost::State : std::enable_shared_from_this<EntryHost::State> {
  State(Runtime& runtime, EntryHostOptions given);

  void Tick();
  // Whether callers had better go to other zones' hosts.
  void WatchReachability(TimePoint now);
  // Whether the own zone's targets could serve every route.
  bool ZoneServesAll(TimePoint now) const;
  void OnNews(const HostId& from, const WatchReply& reply);
  void UseEntryHosts(TimePoint now);
  void PutInForce(const std::shared_ptr<const RouteTable>& table);
  HttpResponse AnswerPlatform(const HttpRequest& request);
  bool IsReady() const;
  std::string PrintMetrics();
  CallerLimits Limits() const;

  Runtime& runtime;
  EntryHostOptions options;
  std::vector<HostId> seeds;
  OutcomeRecorder outcomes;
  LoadBalancer balancer;
  TargetLinks links;
  EntryHostLists entry_hosts;
  RelayChoice relays;
  GatherLinks gather_links;
  GatherRelay gather_relay;
  EntryMetrics metrics;
  SplitRotation rotation;
  EntryParts parts;
  std::unique_ptr<CallerServer> callers;
  std::unique_ptr<PeerServer> peers;
  std::unique_ptr<HttpServer> ready_server;
  std::unique_ptr<HttpServer> metrics_server;
  std::unique_ptr<ControlFollower> follower;
  RoutingInForce routing;
  std::shared_ptr<TargetProber> prober;
  std::shared_ptr<RolloutReporter> rollouts;
  TimePoint last_tick;
  int ticks = 0;
  bool is_leaving = false;
  // Cut off, with little to serve callers by.
  bool is_sending_away = false;
  bool is_stopped = false;
};

EntryHost::State::State(Runtime& runtime, EntryHostOptions given)
    : runtime(runtime),
      options(std::move(given)),
      seeds(SeedIds(this->options.settings)),
      balancer({.self = this->options.settings.name,
                .zone = this->options.settings.zone,
                .cold_burst_factor = this->options.settings.cold_burst_factor,
                .cold_slack = this->options.settings.cold_slack,
                .seed = RandomSeed(),
                .started = Runtime::Now(),
                .on_health_change = LogHealthChange,
                .on_outcomes =
                    [this](const TargetOutcomes& seen, bool is_bad) {
                      this->outcomes.Count(seen);
                      if (is_bad && this->follower != nullptr) {
                        this->follower->ReportSoon();
                      }
                    },
                .is_connected =
                    [this](const TargetId& target) {
                      return this->links.has_idle(target);
                    }}),
      links(runtime,
            {.header_names = this->options.header_names,
             .on_idle_closed =
                 [this](const TargetId& target) {
                   this->balancer.OnIdleClosed(target, Runtime::Now());
                 }}),
      relays({.self = this->options.settings.name,
              .zone = this->options.settings.zone,
              .seed = RandomSeed()}),
      gather_links(runtime, this->relays),
      gather_relay({.runtime = runtime,
                    .header_names = this->options.header_names,
                    .links = this->links,
                    .balancer = this->balancer}),
      parts{.runtime = runtime,
            .header_names = this->options.header_names,
            .balancer = this->balancer,
            .links = this->links,
            .metrics = this->metrics,
            .rotation = this->rotation,
            .budget_limits = {.ratio = this->options.settings.retry_ratio,
                              .slack = this->options.settings.retry_slack,
                              .window = this->options.settings.retry_window},
            .started = Runtime::Now(),
            .random = std::minstd_rand(static_cast<uint32_t>(RandomSeed())),
            .shedding = ShardShedding({.seed = RandomSeed()}),
            .sampler = AnswerSampler(
                {.host = this->options.settings.name, .epoch = RandomSeed()}),
            .relays = this->relays,
            .gather_links = this->gather_links},
      routing({.read = this->options.read_routing,
               .is_served =
                   [this](const ServiceId& service) {
                     return this->balancer.IsServed(service, Runtime::Now());
                   },
               .on_zones_out =
                   [this](const std::vector<ZoneId>& zones) {
                     this->balancer.SetZonesOut(zones);
                   },
               .on_rollouts =
                   [this](const std::vector<RolloutRecord>& agreed) {
                     this->rollouts->SetRollouts(agreed);
                   },
               .on_in_force =
                   [this](const std::shared_ptr<const RouteTable>& table) {
                     this->PutInForce(table);
                   }}),
      prober(std::make_shared<TargetProber>(this->options.header_names,
                                            this->balancer,
                                            this->links)),
      rollouts(std::make_shared<RolloutReporter>(
          runtime,
          this->parts.sampler,
          RolloutReporterOptions{
              .on_splits =
                  [this](std::unordered_map<ServiceId, VersionSplit> splits) {
                    this->balancer.SetVersionSplits(std::move(splits));
                  }})) {}

CallerLimits EntryHost::State::Limits() const {
  return this->parts.table == nullptr ? CallerLimits()
                                      : this->parts.table->config().limits;
}

bool EntryHost::State::IsReady() const {
  return !this->is_leaving && this->parts.table != nullptr &&
         !this->is_sending_away;
}

HttpResponse EntryHost::State::AnswerPlatform(const HttpRequest& request) {
  if (request.path != this->options.header_names.ready_path) {
    return {.status = 404};
  }
  return {.status = this->IsReady() ? 200 : 503};
}

std::string EntryHost::State::PrintMetrics() {
  this->metrics.SetGauge("caller_connections",
                         static_cast<double>(this->callers->connections()));
  this->metrics.SetGauge("requests_running",
                         static_cast<double>(this->callers->running()));
  this->metrics.SetGauge("target_connections",
                         static_cast<double>(this->links.connections()));
  this->metrics.SetGauge("target_connections_opened",
                         static_cast<double>(this->links.opened()));
  this->metrics.SetGauge("agreed_version",
                         static_cast<double>(this->routing.agreed_version()));
  if (this->follower != nullptr) {
    this->metrics.SetGauge("control_hosts_followed",
                           static_cast<double>(this->follower->followed()));
  }
  this->metrics.SetGauge("entry_hosts",
                         static_cast<double>(this->balancer.entry_hosts()));
  return this->metrics.Print();
}

void EntryHost::State::OnNews(const HostId& from, const WatchReply& reply) {
  const TimePoint now = Runtime::Now();
  if (reply.zone != this->options.settings.zone) {
    this->balancer.OnOutsideAnswer(now);
  } else {
    this->balancer.reachability().OnTold(reply.is_cut_off, now);
  }
  LearnTargets(this->balancer, from, reply, now);
  if (this->entry_hosts.Learn(
          from,
          reply.has_hosts ? std::optional(reply.entry_hosts.put) : std::nullopt,
          now)) {
    this->UseEntryHosts(now);
  }
  this->balancer.LearnOutliers(
      from,
      reply.has_outliers ? std::optional(reply.outliers.put) : std::nullopt,
      now);
}

void EntryHost::State::UseEntryHosts(TimePoint now) {
  const std::vector<EntryHostRecord>& records = this->entry_hosts.All();
  std::vector<HostId> hosts;
  hosts.reserve(records.size());
  for (const EntryHostRecord& record : records) {
    hosts.push_back(record.host);
  }
  this->balancer.SetEntryHosts(std::move(hosts), now);
  this->relays.SetHosts(records);
}

void EntryHost::State::PutInForce(
    const std::shared_ptr<const RouteTable>& table) {
  this->parts.table = table;
  this->balancer.SetRouting(table);
  std::set<std::string> names;
  for (const RouteConfig& route : table->config().routes) {
    names.insert(route.name);
  }
  this->rotation.Prune(
      [&](const std::string& name) { return names.contains(name); });
  // Requests that still run refer to their route's memory.
  if (this->callers->running() == 0) {
    std::erase_if(this->parts.routes, [&](const auto& entry) {
      return !names.contains(entry.first);
    });
  }
}

bool EntryHost::State::ZoneServesAll(TimePoint now) const {
  if (this->parts.table == nullptr) {
    return false;
  }
  return std::ranges::all_of(
      this->parts.table->config().routes, [&](const RouteConfig& route) {
        const auto served = std::ranges::count_if(
            route.services, [&](const RouteService& part) {
              return this->balancer.IsServedInZone(part.service, now);
            });
        const double all = static_cast<double>(route.services.size());
        const double least = route.is_scatter ? route.min_share * all : all;
        return static_cast<double>(served) >= least;
      });
}

void EntryHost::State::WatchReachability(TimePoint now) {
  ZoneReachability& reachability = this->balancer.reachability();
  const bool sends_away =
      reachability.is_cut_off(now) &&
      reachability.should_send_away(this->ZoneServesAll(now), now);
  if (std::exchange(this->is_sending_away, sends_away) != sends_away) {
    LogLine(sends_away ? "zone_cut_off" : "zone_reached")
        .Add("zone", this->options.settings.zone)
        .Add("ready", this->IsReady())
        .Add("connections", this->callers->connections())
        .Warning();
  }
}

void EntryHost::State::Tick() {
  const TimePoint now = Runtime::Now();
  // After a standstill of the process all that it waited for looks late, and
  // every target would be taken for silent.
  const bool stood_still = now - this->last_tick > kStandstill;
  this->last_tick = now;
  this->links.Sweep(now);
  this->routing.Adopt(now);
  this->WatchReachability(now);
  this->balancer.ForgetOldOutliers(now);
  if (this->entry_hosts.ForgetOld(now)) {
    this->UseEntryHosts(now);
  }
  this->balancer.ForgetSilent(now);
  this->rollouts->ApplySplits();
  if (!stood_still) {
    this->balancer.EjectSilent(now);
    this->prober->Probe(now);
  }
  if (++this->ticks % kSweepTicks == 0) {
    this->callers->Sweep(now);
    this->gather_relay.Sweep(now);
    this->links.Prune([this](const TargetId& target) {
      const TargetRecord* const record = this->balancer.Find(target);
      return record != nullptr && record->phase != TargetPhase::kGone &&
             record->phase != TargetPhase::kLeaving;
    });
  }
  if (this->options.on_tick) {
    this->options.on_tick();
  }
}

EntryHost::EntryHost(Runtime& runtime, EntryHostOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

EntryHost::~EntryHost() {
  State& self = *this->state;
  self.is_stopped = true;
  self.rollouts->Stop();
  self.follower.reset();
  self.callers.reset();
  self.peers.reset();
  self.ready_server.reset();
  self.metrics_server.reset();
  self.runtime.KeepUntilEnd(std::move(this->state));
}

tl::expected<void, std::string> EntryHost::Start() {
  State& self = *this->state;
  const RoleSettings& settings = self.options.settings;
  if (!settings.caller_address) {
    return tl::unexpected(
        std::string("the settings give no caller_address: an entry host needs "
                    "one"));
  }
  self.callers = std::make_unique<CallerServer>(
      self.runtime,
      CallerServerOptions{
          .endpoint = *settings.caller_address,
          .header_names = self.options.header_names,
          .on_request =
              [&self](CallerRequest request,
                      const std::shared_ptr<CallerExchange>& exchange) {
                StartEntryRequest(self.parts, std::move(request), exchange);
              },
          .limits = [&self] { return self.Limits(); }});
  if (const auto port = self.callers->Start(); !port) {
    return tl::unexpected(port.error().detail);
  }
  if (settings.ready_address) {
    self.ready_server = std::make_unique<HttpServer>(
        self.runtime,
        HttpServerOptions{
            .endpoint = *settings.ready_address,
            .handler = [&self](const HttpRequest& request, HttpExchange&) {
              return self.AnswerPlatform(request);
            }});
    if (const auto port = self.ready_server->Start(); !port) {
      return tl::unexpected(port.error().detail);
    }
  }
  self.peers = std::make_unique<PeerServer>(
      self.runtime,
      PeerServerOptions{
          .endpoint = settings.peer_address,
          .handler = [&self](PeerMessageType type, const std::string& body) {
            return AnswerGatherCall(self.gather_relay, type, body);
          }});
  if (const auto port = self.peers->Start(); !port) {
    return tl::unexpected(port.error().detail);
  }
  auto metrics_server = StartMetricsServer(
      self.runtime, settings, [&self] { return self.PrintMetrics(); });
  if (!metrics_server) {
    return tl::unexpected(metrics_server.error());
  }
  self.metrics_server = *std::move(metrics_server);
  self.follower = std::make_unique<ControlFollower>(
      self.runtime,
      ControlFollowerOptions{
          .self = settings.name,
          .zone = settings.zone,
          .peer_address = settings.peer_address,
          .role = FollowerRole::kEntry,
          .seeds = [&self] { return self.seeds; },
          .held_version = [&self] { return self.routing.agreed_version(); },
          .take_outcomes =
              [&self](const HostId& to) {
                return self.outcomes.Take(to, Runtime::Now());
              },
          .on_reply =
              [&self](const HostId& from, const WatchReply& reply) {
                self.OnNews(from, reply);
              },
          .on_agreed =
              [&self](uint64_t version, const std::string& text) {
                self.routing.OnAgreed(version, text, Runtime::Now());
              }});
  self.follower->Start();
  self.last_tick = Runtime::Now();
  RepeatEvery(self.runtime, kTick, [state = this->state] {
    if (!state->is_stopped) {
      state->Tick();
    }
    return !state->is_stopped;
  });
  return {};
}

void EntryHost::Reload(const RoleSettings& settings) {
  this->state->seeds = SeedIds(settings);
  LogReload(settings);
}

void EntryHost::Shutdown() {
  State& self = *this->state;
  const TimePoint started = Runtime::Now();
  const TimePoint give_up =
      started + self.options.settings.stop_grace - kStopMargin;
  self.is_leaving = true;
  self.callers->StartDraining();
  self.gather_relay.StartDraining();
  LogLine("leaving")
      .Add("host", self.options.settings.name)
      .Add("running", self.callers->running())
      .Add("connections", self.callers->connections())
      .Info();
  while (Runtime::Now() < give_up) {
    if (Runtime::Now() - started > kBalancerNotice) {
      self.callers->CloseIdle();
      if (self.callers->connections() == 0 &&
          self.gather_relay.running() == 0) {
        break;
      }
    }
    Runtime::SleepFor(kTick);
  }
  LogLine("left")
      .Add("host", self.options.settings.name)
      .Add("running", self.callers->running())
      .Info();
}

}  // namespace knapweedroad
