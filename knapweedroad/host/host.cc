#include "knapweedroad/host/host.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/host/attempt_router.h"
#include "knapweedroad/host/attempt_service.h"
#include "knapweedroad/host/caller_request.h"
#include "knapweedroad/host/configuration_keeper.h"
#include "knapweedroad/host/control_plane.h"
#include "knapweedroad/host/coordinator.h"
#include "knapweedroad/host/gossip.h"
#include "knapweedroad/host/lease_service.h"
#include "knapweedroad/host/lookup_service.h"
#include "knapweedroad/host/peer_links.h"
#include "knapweedroad/host/platform_api.h"
#include "knapweedroad/host/problem.h"
#include "knapweedroad/host/report_json.h"
#include "knapweedroad/host/status_report.h"
#include "knapweedroad/host/target_link.h"
#include "knapweedroad/host/target_table.h"
#include "knapweedroad/membership/holder_directory.h"
#include "knapweedroad/membership/host_view.h"
#include "knapweedroad/membership/target_directory.h"
#include "knapweedroad/metrics/host_metrics.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

// Calls to a holder that wait so long make its targets second choice.
constexpr Duration kSlowHolder = std::chrono::milliseconds(60);
constexpr Duration kStartWait = std::chrono::seconds(3);
// Handing leases over takes a few round trips. Where all hosts stop together
// nobody takes them, and the leases run out by themselves.
constexpr Duration kHandoverTime = std::chrono::seconds(3);
constexpr Duration kWarmUp = std::chrono::milliseconds(1200);
constexpr Duration kReportWait = std::chrono::milliseconds(100);

uint64_t WallClockNow() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(wall).count());
}

uint64_t RandomNumber() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

bool IsUrgent(const TargetReport& report) {
  return report.state != TargetState::kReady;
}

}  // namespace

struct Host::State {
  State(Runtime& runtime, HostOptions options);

  bool ZoneIsOut(const ZoneId& zone) const;
  std::shared_ptr<const FrontConfig> FindFront(const FrontId& name) const;
  // The host to go through for the target; empty where none is known.
  HostId HolderOf(const TargetId& target) const;
  // Whether attempts at the target can get through now, as far as is known.
  bool HolderAnswers(const TargetId& target, TimePoint now);
  std::vector<TargetCandidate> Candidates(const FrontId& front,
                                          const ServiceId& service);
  bool IsReady() const { return this->is_started && !this->is_stopping; }
  std::optional<HttpResponse> AnswerPlatformRequest(const HttpRequest& http);
  HttpResponse HandleCaller(const HttpRequest& http, HttpExchange& exchange);
  HttpResponse HandleTarget(const HttpRequest& http);
  HttpResponse HandleOperator(const HttpRequest& http);
  void FillHeartbeat(Heartbeat& beat) const;
  void FillStatus(StatusReport& report) const;
  tl::expected<void, std::string> StartServers();

  Runtime& runtime;
  HostOptions options;
  const HostSettings& settings;
  uint64_t incarnation;
  HostMetrics metrics;
  PeerLinks links;
  ConfigurationKeeper keeper;
  HostView view;
  HolderDirectory holders;
  TargetDirectory directory;
  TargetTable targets;
  AttemptRouter router;
  LeaseService leases;
  Gossip gossip;
  ControlPlane control;
  Coordinator coordinator;
  LookupService lookups;
  HttpServer caller_server;
  HttpServer target_server;
  HttpServer operator_server;
  bool is_started = false;
  bool is_stopping = false;
};

Host::State::State(Runtime& runtime, HostOptions given)
    : runtime(runtime),
      options(std::move(given)),
      settings(this->options.settings),
      incarnation(WallClockNow()),
      links(runtime, this->settings),
      view({.self = this->settings.name, .hosts = this->settings.hosts}),
      holders({}),
      directory(
          {.is_zone_out_of_service =
               [this](const ZoneId& zone) { return this->ZoneIsOut(zone); }}),
      targets(runtime, this->settings.zone),
      router(
          {.holder_of =
               [this](const TargetId& target) {
                 return this->holders.HolderOf(target, Runtime::Now())
                     .value_or(HostId());
               },
           .local =
               [this](const TargetId& target) {
                 return this->targets.FindHeld(target);
               },
           .peer =
               [this](const HostId& host) { return this->links.Find(host); }}),
      leases(runtime,
             {.settings = this->settings,
              .incarnation = this->incarnation,
              .links = this->links,
              .targets = this->targets,
              .view = this->view}),
      gossip(runtime,
             {.settings = this->settings,
              .incarnation = this->incarnation,
              .links = this->links,
              .view = this->view,
              .holders = this->holders,
              .directory = this->directory,
              .fill = [this](Heartbeat& beat) { this->FillHeartbeat(beat); },
              .on_report =
                  [this](const TargetReport& report) {
                    this->targets.OnReport(report);
                  },
              .on_version =
                  [this](const HostId& host, uint64_t version) {
                    this->control.OnPeerVersion(host, version);
                  }}),
      control(runtime,
              {.settings = this->settings,
               .initial_configuration = this->options.initial_configuration,
               .links = this->links,
               .view = this->view,
               .keeper = this->keeper,
               .fill_status =
                   [this](StatusReport& report) { this->FillStatus(report); }}),
      coordinator(runtime,
                  {.host = this->settings.name,
                   .own_zone = this->settings.zone,
                   .router = this->router,
                   .metrics = this->metrics,
                   .process_id = this->settings.name.str() + "-" +
                                 std::to_string(this->incarnation),
                   .candidates =
                       [this](const FrontId& front, const ServiceId& service) {
                         return this->directory.Candidates(front, service,
                                                           Runtime::Now());
                       },
                   .lookup =
                       [this](const FrontRequest& request) {
                         return this->lookups.Run(request);
                       },
                   .seed = RandomNumber()}),
      lookups(
          runtime,
          {.settings = this->settings,
           .links = this->links,
           .run =
               [this](const FrontRequest& request) {
                 return this->coordinator.RunLookup(request);
               },
           .find_front =
               [this](const FrontId& name) { return this->FindFront(name); }}),
      caller_server(
          runtime,
          {.endpoint = this->settings.caller_address,
           .handler =
               [this](const HttpRequest& request, HttpExchange& exchange) {
                 return this->HandleCaller(request, exchange);
               }}),
      target_server(runtime,
                    {.endpoint = this->settings.target_address,
                     .handler =
                         [this](const HttpRequest& request, HttpExchange&) {
                           return this->HandleTarget(request);
                         }}),
      operator_server(
          runtime,
          {.endpoint = this->settings.operator_address,
           .handler = [this](const HttpRequest& request, HttpExchange&) {
             return this->HandleOperator(request);
           }}) {}

bool Host::State::ZoneIsOut(const ZoneId& name) const {
  const auto& zones = this->keeper.current()->zones;
  return std::any_of(zones.begin(), zones.end(), [&](const ZoneConfig& zone) {
    return zone.name == name && zone.out;
  });
}

HostId Host::State::HolderOf(const TargetId& target) const {
  if (this->targets.IsHeld(target)) {
    return this->settings.name;
  }
  return this->holders.HolderOf(target, Runtime::Now()).value_or(HostId());
}

bool Host::State::HolderAnswers(const TargetId& target, TimePoint now) {
  const HostId holder = this->HolderOf(target);
  if (holder == this->settings.name) {
    return true;
  }
  const PeerClient* peer = this->links.Find(holder);
  return peer != nullptr && this->view.IsAlive(holder, now) &&
         peer->unanswered_for(now) < kSlowHolder;
}

// A target whose holder doesn't answer is left aside while its service has
// another one: until the leases of a frozen host have passed on, queries would
// wait for its targets in vain.
std::vector<TargetCandidate> Host::State::Candidates(const FrontId& front,
                                                     const ServiceId& service) {
  const TimePoint now = Runtime::Now();
  std::vector<TargetCandidate> candidates =
      this->directory.Candidates(front, service, now);
  const auto reachable = [&](const TargetCandidate& candidate) {
    return candidate.usable && this->HolderAnswers(candidate.target, now);
  };
  if (std::ranges::any_of(candidates, reachable)) {
    for (TargetCandidate& candidate : candidates) {
      candidate.usable = reachable(candidate);
    }
  }
  return candidates;
}

std::shared_ptr<const FrontConfig> Host::State::FindFront(
    const FrontId& name) const {
  const auto& current = this->keeper.current();
  for (const FrontConfig& front : current->fronts) {
    if (front.name == name) {
      return {current, &front};
    }
  }
  return nullptr;
}

std::optional<HttpResponse> Host::State::AnswerPlatformRequest(
    const HttpRequest& http) {
  if (http.path == "/metrics") {
    const DecisionCounts counts = this->targets.Decisions();
    this->metrics.SetDecisionCount("attempt_started", counts.attempts_started);
    this->metrics.SetDecisionCount("shed_by_target", counts.sheds);
    this->metrics.SetDecisionCount("connection_lost", counts.lost_connections);
    this->metrics.SetDecisionCount("fell_to_cold", counts.falls_to_cold);
    this->metrics.SetDecisionCount("lease_changed", counts.lease_changes);
    for (size_t kind = 0; kind < kRefusalKinds; ++kind) {
      const auto word = ToString(static_cast<RefusalKind>(kind));
      this->metrics.SetDecisionCount("refused_" + std::string(word),
                                     counts.refused[kind]);
    }
    this->metrics.SetGauge(
        "targets_held",
        static_cast<double>(this->leases.Held(Runtime::Now()).size()));
    this->metrics.SetGauge("datagram_bytes_sent",
                           static_cast<double>(this->links.datagram_bytes()));
    this->metrics.SetGauge("configuration_version",
                           static_cast<double>(this->keeper.version()));
  }
  return AnswerPlatform(http, this->IsReady(), this->metrics);
}

HttpResponse Host::State::HandleCaller(const HttpRequest& http,
                                       HttpExchange& exchange) {
  if (auto answer = this->AnswerPlatformRequest(http)) {
    return std::move(*answer);
  }
  if (!this->is_started) {
    return ProblemResponse({.status = 503,
                            .title = "Starting",
                            .detail = "this host doesn't know yet what is in "
                                      "force",
                            .outcome = OutcomeUnread(http),
                            .retry_after = kStartWait},
                           EchoedRequestId(http));
  }
  const auto request =
      ReadCallerRequest(http, this->keeper.current(), exchange.received,
                        [] { return "r-" + std::to_string(RandomNumber()); });
  if (!request) {
    return ProblemResponse(request.error(), EchoedRequestId(http));
  }
  return this->coordinator.Answer(*request, exchange);
}

HttpResponse Host::State::HandleTarget(const HttpRequest& http) {
  if (http.path != "/v1/targets/report" || http.method != "POST") {
    return ProblemResponse(
        BadRequest(404, "Not found", "targets POST /v1/targets/report"), "");
  }
  const auto report = ReadReportJson(http.body);
  if (!report) {
    return ProblemResponse(BadRequest(400, "Bad report", report.error()), "");
  }
  const TargetReport* known = this->directory.Find(report->target);
  if (known != nullptr && *known == *report) {
    // Sent again, as its first answer was lost.
    return {.body = "{\"accepted\": true}"};
  }
  if (!this->directory.OnReport(*report, Runtime::Now())) {
    return {.status = 409,
            .body =
                "{\"accepted\": false, \"detail\": \"a newer report of "
                "this target is known\"}"};
  }
  this->targets.OnReport(*report);
  if (IsUrgent(*report)) {
    this->gossip.SendNow();
  }
  return {.body = "{\"accepted\": true}"};
}

HttpResponse Host::State::HandleOperator(const HttpRequest& http) {
  if (auto answer = this->AnswerPlatformRequest(http)) {
    return std::move(*answer);
  }
  return this->control.Handle(http);
}

void Host::State::FillStatus(StatusReport& report) const {
  const TimePoint now = Runtime::Now();
  report.hosts = this->view.Statuses(now);
  report.hosts.push_back({.host = this->settings.name,
                          .zone = this->settings.zone,
                          .alive = true,
                          .leaving = this->is_stopping,
                          .can_hold_leases = this->leases.CanHold(now),
                          .incarnation = this->incarnation,
                          .configuration_version = this->keeper.version(),
                          .silent_for = Duration::zero()});
  report.zones = this->keeper.current()->zones;
  for (const ZoneConfig& zone : report.zones) {
    for (const TargetReport& target :
         this->directory.LiveTargets(zone.name, now)) {
      const HostId holder = this->HolderOf(target.target);
      report.targets.push_back({.target = target.target,
                                .front = target.front,
                                .service = target.service,
                                .zone = target.zone,
                                .state = target.state,
                                .holder = holder,
                                .in_flight = target.in_flight,
                                .limit = this->targets.Limit(target.target)});
    }
  }
}

void Host::State::FillHeartbeat(Heartbeat& beat) const {
  const TimePoint now = Runtime::Now();
  beat.configuration_version = this->keeper.version();
  beat.can_hold_leases = this->leases.CanHold(now);
  beat.leaving = this->is_stopping;
  beat.held_targets = this->leases.Held(now);
}

tl::expected<void, std::string> Host::State::StartServers() {
  if (const auto started = this->links.Start(); !started) {
    return tl::unexpected(started.error().detail);
  }
  for (HttpServer* server :
       {&this->caller_server, &this->target_server, &this->operator_server}) {
    if (const auto started = server->Start(); !started) {
      return tl::unexpected(started.error().detail);
    }
  }
  return {};
}

Host::Host(Runtime& runtime, HostOptions options)
    : state(std::make_unique<State>(runtime, std::move(options))) {}

Host::~Host() = default;

tl::expected<void, std::string> Host::Start() {
  State& self = *this->state;
  self.keeper.OnChange([&self](const DeploymentConfig& configuration) {
    self.targets.OnConfiguration(self.keeper.current());
    self.coordinator.OnConfiguration(configuration);
    if (self.is_started) {
      // The others pull what they hear of; until the next heartbeat they
      // would not.
      self.gossip.SendNow();
    }
  });
  if (auto opened = self.control.Open(); !opened) {
    return opened;
  }
  ServeAttempts(self.links, self.targets);
  self.lookups.Start();
  self.leases.Start();
  self.gossip.Start();
  if (auto started = self.StartServers(); !started) {
    return started;
  }
  // Not ready before it knows what is in force; the balancer waits for that.
  self.runtime.Spawn([&self] {
    self.control.CatchUp();
    // Targets and holders become known by the heartbeats of a second or so; a
    // host that is ready before refuses what others could answer.
    Runtime::SleepFor(kWarmUp);
    self.is_started = true;
  });
  return {};
}

void Host::Shutdown() {
  State& self = *this->state;
  const TimePoint deadline =
      Runtime::Now() + self.options.drain_time + self.options.stop_timeout;
  LogLine("host_stopping").Add("host", self.settings.name).Info();
  self.is_stopping = true;
  self.caller_server.StartDraining();
  self.gossip.SendNow();
  Runtime::SleepFor(self.options.drain_time);
  self.caller_server.Stop(deadline);
  // Other hosts' attempts run through this one until the leases are handed
  // over; what runs then has its answer first.
  self.leases.Leave(std::min(deadline, Runtime::Now() + kHandoverTime));
  while (self.links.running_calls() > 0 && Runtime::Now() < deadline) {
    Runtime::SleepFor(kReportWait);
  }
  self.operator_server.Stop(deadline);
  self.target_server.Stop(deadline);
}

}  // namespace knapweedroad
