#include "knapweedroad/host/host.h"

#include <chrono>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "knapweedroad/admission/zone_leases.h"
#include "knapweedroad/base/log_line.h"
#include "knapweedroad/host/attempt_router.h"
#include "knapweedroad/host/caller_request.h"
#include "knapweedroad/host/configuration_keeper.h"
#include "knapweedroad/host/coordinator.h"
#include "knapweedroad/host/peer_links.h"
#include "knapweedroad/host/problem.h"
#include "knapweedroad/host/report_json.h"
#include "knapweedroad/host/target_link.h"
#include "knapweedroad/host/target_table.h"
#include "knapweedroad/metrics/host_metrics.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/cancel_call.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

struct Heartbeat {
  HostId host;
  uint64_t config_version = 0;
  std::vector<TargetId> held;
  std::vector<TargetReport> reports;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, config_version, held, reports);
  }
};

constexpr Duration kHeartbeatInterval = 200ms;
constexpr Duration kTargetStale = 5s;
constexpr Duration kLeaseTick = 50ms;
constexpr Duration kLeaseLength = 1500ms;

}  // namespace

struct Host::State {
  State(Runtime& runtime, HostOptions options)
      : runtime(runtime),
        options(std::move(options)),
        links(runtime, this->options.settings),
        targets(runtime, this->options.settings.zone),
        router({.holder_of =
                    [this](const TargetId& target) {
                      const auto found = this->holders.find(target);
                      return found == this->holders.end() ? HostId()
                                                          : found->second;
                    },
                .local =
                    [this](const TargetId& target) {
                      return this->targets.FindHeld(target);
                    },
                .peer =
                    [this](const HostId& host) {
                      return this->links.Find(host);
                    }}) {}

  void AcceptReport(const TargetReport& report);
  std::vector<TargetCandidate> Candidates(const FrontId& front,
                                          const ServiceId& service);
  HttpResponse HandleCaller(const HttpRequest& http, HttpExchange& exchange);
  HttpResponse HandleTarget(const HttpRequest& http);
  void HeartbeatLoop();
  void LeaseLoop();
  void Perform(const ZoneLeases::Actions& actions);

  Runtime& runtime;
  HostOptions options;
  HostMetrics metrics;
  PeerLinks links;
  TargetTable targets;
  ConfigurationKeeper keeper;
  AttemptRouter router;
  std::unique_ptr<ZoneLeases> leases;
  std::unique_ptr<Coordinator> coordinator;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> target_server;
  std::unique_ptr<HttpServer> operator_server;
  std::map<TargetId, std::pair<TargetReport, TimePoint>> reports;
  std::set<TargetId> fresh;
  std::map<TargetId, HostId> holders;
  std::map<HostId, TimePoint> heard;
  bool is_ready = false;
  bool is_stopping = false;
};

void Host::State::AcceptReport(const TargetReport& report) {
  auto& [known, heard_at] = this->reports[report.target];
  if (std::pair(report.incarnation, report.sequence) <=
      std::pair(known.incarnation, known.sequence)) {
    return;
  }
  known = report;
  heard_at = Runtime::Now();
  this->targets.OnReport(report);
}

std::vector<TargetCandidate> Host::State::Candidates(const FrontId& front,
                                                     const ServiceId& service) {
  std::vector<TargetCandidate> candidates;
  const TimePoint now = Runtime::Now();
  for (const auto& [target, entry] : this->reports) {
    const TargetReport& report = entry.first;
    if (report.front != front || report.service != service) {
      continue;
    }
    bool out = false;
    for (const ZoneConfig& zone : this->keeper.current()->zones) {
      out = out || (zone.name == report.zone && zone.out);
    }
    candidates.push_back({.target = target,
                          .zone = report.zone,
                          .state = report.state,
                          .holds = report.holds,
                          .in_flight = report.in_flight,
                          .queued = report.queued,
                          .usable = !out && now - entry.second < kTargetStale &&
                                    report.state != TargetState::kLeaving});
  }
  return candidates;
}

HttpResponse Host::State::HandleCaller(const HttpRequest& http,
                                       HttpExchange& exchange) {
  if (http.path == "/healthz") {
    return {.body = "{\"healthy\": true}"};
  }
  if (http.path == "/readyz") {
    return this->is_ready && !this->is_stopping
               ? HttpResponse{.body = "{\"ready\": true}"}
               : HttpResponse{.status = 503, .body = "{\"ready\": false}"};
  }
  if (http.path == "/metrics") {
    return {.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
            .body = this->metrics.Text()};
  }
  const auto request =
      ReadCallerRequest(http, this->keeper.current(), exchange.received, [] {
        std::random_device device;
        return "r-" + std::to_string((uint64_t{device()} << 32) | device());
      });
  if (!request) {
    return ProblemResponse(request.error(), EchoedRequestId(http));
  }
  return this->coordinator->Answer(*request, exchange);
}

HttpResponse Host::State::HandleTarget(const HttpRequest& http) {
  if (http.path != "/v1/targets/report" || http.method != "POST") {
    return ProblemResponse(
        BadRequest(404, "Not found", "POST /v1/targets/report"), "");
  }
  const auto report = ReadReportJson(http.body);
  if (!report) {
    return ProblemResponse(BadRequest(400, "Bad report", report.error()), "");
  }
  this->AcceptReport(*report);
  this->fresh.insert(report->target);
  return {.body = "{\"accepted\": true}"};
}

void Host::State::HeartbeatLoop() {
  while (true) {
    Heartbeat beat{.host = this->options.settings.name,
                   .config_version = this->keeper.version(),
                   .held = this->leases->HeldTargets()};
    for (const TargetId& target : this->fresh) {
      beat.reports.push_back(this->reports[target].first);
    }
    this->fresh.clear();
    this->links.SendToAll(PeerMessageType::kHeartbeat, EncodeBytes(beat));
    Runtime::SleepFor(kHeartbeatInterval);
  }
}

void Host::State::Perform(const ZoneLeases::Actions& actions) {
  for (const auto& share : actions.shares) {
    this->targets.SetShare(share.target, share.share);
  }
  for (const auto& message : actions.requests) {
    this->links.Send(
        message.to, PeerMessageType::kLease,
        EncodeBytes(std::variant<LeaseRequest, LeaseReply>(message.request)));
  }
  for (const auto& reply : actions.replies) {
    this->links.Send(
        reply.to, PeerMessageType::kLease,
        EncodeBytes(std::variant<LeaseRequest, LeaseReply>(reply.reply)));
  }
}

void Host::State::LeaseLoop() {
  while (true) {
    const TimePoint now = Runtime::Now();
    this->leases->SetTargets(this->targets.LeaseTargets(), now);
    std::vector<HostId> eligible = {this->options.settings.name};
    for (const PeerSettings& peer : this->links.others()) {
      if (peer.zone == this->options.settings.zone &&
          now - this->heard[peer.name] < 1s) {
        eligible.push_back(peer.name);
      }
    }
    this->leases->SetEligibleHosts(eligible, now);
    for (const TargetId& target : this->targets.Drained()) {
      this->leases->OnDrained(target);
    }
    this->Perform(this->leases->Tick(now));
    Runtime::SleepFor(kLeaseTick);
  }
}

Host::Host(Runtime& runtime, HostOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}
Host::~Host() = default;

tl::expected<void, std::string> Host::Start() {
  State& self = *this->state;
  const HostSettings& settings = self.options.settings;
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  self.keeper.OnChange([&self](const DeploymentConfig&) {
    self.targets.OnConfiguration(self.keeper.current());
  });
  if (!self.options.initial_configuration.empty()) {
    if (auto offered = self.keeper.Offer(1, self.options.initial_configuration,
                                         Runtime::Now());
        !offered) {
      return offered;
    }
  }
  self.leases = std::make_unique<ZoneLeases>(ZoneLeases::Options{
      .self = settings.name,
      .zone = settings.zone,
      .hosts = settings.hosts,
      .incarnation = static_cast<uint64_t>(wall.count()),
      .started = Runtime::Now(),
      .timing = {.length = kLeaseLength, .max_work_time = kMaxWorkTime}});
  self.coordinator = std::make_unique<Coordinator>(
      self.runtime,
      CoordinatorOptions{
          .host = settings.name,
          .own_zone = settings.zone,
          .router = self.router,
          .metrics = self.metrics,
          .process_id =
              settings.name.str() + "-" + std::to_string(wall.count()),
          .candidates =
              [&self](const FrontId& front, const ServiceId& service) {
                return self.Candidates(front, service);
              },
          .seed = std::random_device()()});
  self.links.OnCall(
      PeerMessageType::kAttempt,
      [&self](PeerMessageType,
              std::string body) -> tl::expected<std::string, std::string> {
        const auto call = DecodeBytes<AttemptCall>(body);
        if (!call) {
          return tl::unexpected(call.error());
        }
        TargetLink* link = self.targets.FindHeld(call->target);
        if (link == nullptr) {
          return EncodeBytes(AttemptReply{.end = AttemptEnd::kNotHolder,
                                          .outcome = RunOutcome::kNotRun});
        }
        return EncodeBytes(
            link->Run(*call, Runtime::Now() + Duration(call->remaining_ns)));
      });
  self.links.OnCall(
      PeerMessageType::kCancel,
      [&self](PeerMessageType,
              std::string body) -> tl::expected<std::string, std::string> {
        const auto call = DecodeBytes<CancelCall>(body);
        if (call) {
          if (TargetLink* link = self.targets.Find(call->target)) {
            link->Cancel(call->attempt);
          }
        }
        return std::string();
      });
  self.links.OnDatagram(PeerMessageType::kHeartbeat,
                        [&self](std::string_view body) {
                          const auto beat = DecodeBytes<Heartbeat>(body);
                          if (!beat) {
                            return;
                          }
                          self.heard[beat->host] = Runtime::Now();
                          for (const TargetId& target : beat->held) {
                            self.holders[target] = beat->host;
                          }
                          for (const TargetReport& report : beat->reports) {
                            self.AcceptReport(report);
                          }
                        });
  self.links.OnDatagram(
      PeerMessageType::kLease, [&self](std::string_view body) {
        const auto message =
            DecodeBytes<std::variant<LeaseRequest, LeaseReply>>(body);
        if (!message) {
          return;
        }
        if (const auto* request = std::get_if<LeaseRequest>(&*message)) {
          self.Perform(self.leases->OnRequest(*request, Runtime::Now()));
        } else {
          self.Perform(self.leases->OnReply(std::get<LeaseReply>(*message),
                                            Runtime::Now()));
        }
      });
  self.caller_server = std::make_unique<HttpServer>(
      self.runtime,
      HttpServerOptions{.endpoint = settings.caller_address,
                        .handler = [&self](const HttpRequest& request,
                                           HttpExchange& exchange) {
                          return self.HandleCaller(request, exchange);
                        }});
  self.target_server = std::make_unique<HttpServer>(
      self.runtime,
      HttpServerOptions{
          .endpoint = settings.target_address,
          .handler = [&self](const HttpRequest& request, HttpExchange&) {
            return self.HandleTarget(request);
          }});
  if (const auto started = self.links.Start(); !started) {
    return tl::unexpected(started.error().detail);
  }
  for (HttpServer* server :
       {self.caller_server.get(), self.target_server.get()}) {
    if (const auto started = server->Start(); !started) {
      return tl::unexpected(started.error().detail);
    }
  }
  self.runtime.Spawn([state = this->state] { state->HeartbeatLoop(); });
  self.runtime.Spawn([state = this->state] { state->LeaseLoop(); });
  self.is_ready = true;
  return {};
}

void Host::Shutdown() {
  State& self = *this->state;
  self.is_stopping = true;
  self.caller_server->StartDraining();
  Runtime::SleepFor(self.options.drain_time);
  self.caller_server->Stop(Runtime::Now() + self.options.stop_timeout);
}

}  // namespace knapweedroad
