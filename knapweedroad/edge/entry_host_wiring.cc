// How the parts of an entry host are made and joined.

#include <optional>
#include <random>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/admit_request.h"
#include "knapweedroad/edge/entry_host_state.h"
#include "knapweedroad/edge/gather_calls.h"
#include "knapweedroad/edge/quota_calls.h"
#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/quota/quota_messages.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(100);

void LogHealthChange(const TargetHealthChange& health) {
  LogLine("target_health")
      .Add("target", health.target)
      .Add("health", health.health)
      .Add("cause", health.cause)
      .Add("span_ms", std::chrono::floor<milliseconds>(health.duration).count())
      .Info();
}

uint64_t RandomSeed() {
  std::random_device device;
  return device();
}

}  // namespace

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
                .on_outcome =
                    [this](const TargetOutcomes& seen, bool is_failed_or_slow) {
                      this->outcomes.Count(seen);
                      if (is_failed_or_slow && this->follower != nullptr) {
                        this->follower->ReportSoon();
                      }
                    },
                .has_idle_connection =
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
                    .balancer = this->balancer,
                    .on_attempt =
                        [this](const ServiceId& service) {
                          this->warmer.OnGathered(service, Runtime::Now());
                        }}),
      detector({}),
      loss_sharing(
          runtime,
          {.self = this->options.settings.name,
           .zone = this->options.settings.zone,
           .detector = this->detector,
           .entry_hosts = [this]() -> const std::vector<EntryHostRecord>& {
             return this->entry_hosts.All();
           }}),
      admission(
          {.newest_table = [this] { return this->routing.newest_table(); },
           .is_configuration_fresh =
               [this] { return this->IsConfigurationFresh(); },
           .take_permit =
               [this](const AccountId& account,
                      std::function<void(const QuotaDecision&)> on_decision) {
                 if (this->quota != nullptr) {
                   this->quota->Take(account, std::move(on_decision));
                 }
               },
           .return_permit =
               [this](const AccountId& account) {
                 if (this->quota != nullptr) {
                   this->quota->Return(account);
                 }
               }}),
      parts{.runtime = runtime,
            .header_names = this->options.header_names,
            .balancer = this->balancer,
            .links = this->links,
            .metrics = this->metrics,
            .admission = this->admission,
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
            .gather_links = this->gather_links,
            .detector = this->detector,
            .loss_sharing = this->loss_sharing,
            .self = this->options.settings.name},
      warmer({.parts = this->parts, .zone = this->options.settings.zone}),
      routing({.read = this->options.read_routing,
               .is_served =
                   [this](const ServiceId& service) {
                     return this->balancer.IsServed(service, Runtime::Now());
                   },
               .on_zones_out =
                   [this](const std::vector<ZoneId>& zones) {
                     this->balancer.SetZonesOutOfService(zones);
                   },
               .on_rollouts =
                   [this](const std::vector<RolloutRecord>& agreed) {
                     this->rollouts->SetRollouts(agreed);
                   },
               .on_in_force =
                   [this](const std::shared_ptr<const RouteTable>& table) {
                     this->PutInForce(table);
                   }}),
      freshness({.bound = this->options.settings.revocation_bound}),
      prober(std::make_shared<TargetProber>(this->options.header_names,
                                            this->balancer,
                                            this->links,
                                            [this](const TargetId& target) {
                                              this->detector.OnTargetAlive(
                                                  target, Runtime::Now());
                                            })),
      rollouts(std::make_shared<RolloutReporter>(
          runtime,
          this->parts.sampler,
          RolloutReporterOptions{
              .on_splits =
                  [this](std::unordered_map<ServiceId, VersionSplit> splits) {
                    this->balancer.SetVersionSplits(std::move(splits));
                  }})) {}

tl::expected<void, std::string> EntryHost::State::ServeCallers() {
  this->callers = std::make_unique<CallerServer>(
      this->runtime,
      CallerServerOptions{
          .endpoint = *this->options.settings.caller_address,
          .header_names = this->options.header_names,
          .on_request =
              [this](CallerRequest request,
                     const std::shared_ptr<CallerExchange>& exchange) {
                AdmitCallerRequest(this->parts, std::move(request), exchange);
              },
          .limits = [this] { return this->Limits(); }});
  if (const auto port = this->callers->Start(); !port) {
    return tl::unexpected(port.error().detail);
  }
  return {};
}

tl::expected<void, std::string> EntryHost::State::ServeReadiness() {
  if (!this->options.settings.ready_address) {
    return {};
  }
  this->ready_server = std::make_unique<HttpServer>(
      this->runtime,
      HttpServerOptions{
          .endpoint = *this->options.settings.ready_address,
          .handler = [this](const HttpRequest& request, HttpExchange&) {
            return this->AnswerPlatform(request);
          }});
  if (const auto port = this->ready_server->Start(); !port) {
    return tl::unexpected(port.error().detail);
  }
  return {};
}

tl::expected<void, std::string> EntryHost::State::ServePeers() {
  this->peers = std::make_unique<PeerServer>(
      this->runtime,
      PeerServerOptions{
          .endpoint = this->options.settings.peer_address,
          .handler = [this](PeerMessageType type, const std::string& body) {
            return type == PeerMessageType::kLossReport
                       ? this->loss_sharing.OnReport(body)
                       : AnswerGatherCall(this->gather_relay, type, body);
          }});
  if (const auto port = this->peers->Start(); !port) {
    return tl::unexpected(port.error().detail);
  }
  return {};
}

tl::expected<void, std::string> EntryHost::State::ServeMetrics() {
  auto metrics_server =
      StartMetricsServer(this->runtime, this->options.settings,
                         [this] { return this->PrintMetrics(); });
  if (!metrics_server) {
    return tl::unexpected(metrics_server.error());
  }
  this->metrics_server = *std::move(metrics_server);
  return {};
}

void EntryHost::State::FollowControl() {
  this->follower = std::make_unique<ControlFollower>(
      this->runtime,
      ControlFollowerOptions{
          .self = this->options.settings.name,
          .zone = this->options.settings.zone,
          .peer_address = this->options.settings.peer_address,
          .role = FollowerRole::kEntry,
          .seeds = [this] { return this->seeds; },
          .held_version = [this] { return this->routing.agreed_version(); },
          .take_outcomes =
              [this](const HostId& to) {
                return this->outcomes.Take(to, Runtime::Now());
              },
          .on_reply =
              [this](const HostId& from, const WatchReply& reply) {
                this->OnNews(from, reply);
              },
          .on_agreed =
              [this](uint64_t version, const std::string& text) {
                this->OnAgreed(version, text);
              }});
  this->follower->Start();
}

void EntryHost::State::MakeQuotaClient() {
  const auto caller = std::make_shared<PermitCaller>(
      this->runtime, *this->follower, this->options.settings.name);
  this->quota = std::make_unique<QuotaClient>(
      this->runtime,
      QuotaClientOptions{
          .self = this->options.settings.name,
          .responsive_hosts = [caller] { return caller->Hosts(); },
          .call =
              [caller](const HostId& host, const PermitCall& call,
                       TimePoint deadline) {
                return caller->Call(host, call, deadline);
              }});
}

void EntryHost::State::ProveFreshness() {
  if (!this->options.settings.strict_revocation) {
    return;
  }
  this->started_at = BootClock::now();
  this->freshness_client =
      std::make_shared<FreshnessClient>(FreshnessClientOptions{
          .self = this->options.settings.name,
          .freshness = this->freshness,
          .control_hosts = [this] { return this->follower->ResponsiveHosts(); },
          .call =
              [this](const HostId& host, std::string_view body,
                     TimePoint deadline) {
                return this->follower->Call(host, PeerMessageType::kConfirm,
                                            body, deadline);
              },
          .on_confirmation =
              [this](const HostId& host, bool is_confirmed) {
                this->follower->NoteConfirmation(host, is_confirmed);
              }});
  this->runtime.Spawn(
      [state = this->shared_from_this()] { state->freshness_client->Run(); });
}

void EntryHost::State::BeginTicks() {
  this->last_tick = Runtime::Now();
  RepeatEvery(this->runtime, kTick, [state = this->shared_from_this()] {
    if (!state->is_stopped) {
      state->Tick();
    }
    return !state->is_stopped;
  });
}

}  // namespace knapweedroad
