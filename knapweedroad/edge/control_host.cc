#include "knapweedroad/edge/control_host.h"

#include <algorithm>
#include <sstream>
#include <utility>
#include <vector>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/agreed_editor.h"
#include "knapweedroad/edge/agreed_value.h"
#include "knapweedroad/edge/control_follower.h"
#include "knapweedroad/edge/control_links.h"
#include "knapweedroad/edge/directory_cache.h"
#include "knapweedroad/edge/peer_calls.h"
#include "knapweedroad/edge/replica_membership.h"
#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/edge/rollout_owner.h"
#include "knapweedroad/edge/watch_hub.h"
#include "knapweedroad/edge/zone_connectivity.h"
#include "knapweedroad/host/control_replica.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/peer_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/registry/announce_plan.h"
#include "knapweedroad/registry/outcome_collector.h"
#include "knapweedroad/registry/outlier_detector.h"
#include "knapweedroad/rollout/rollout_orders.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(100);
// Ticks between judgements of targets. Each change wakes all followers, so this
// also bounds their calls.
constexpr int kOutlierTicks = 3;
// Announcements missed before a target counts as silent.
constexpr int kMissedHeartbeats = 3;
// Calls that are running at a stop get this long.
constexpr Duration kStopWait = milliseconds(300);
constexpr Duration kAgreeTimeout = milliseconds(2000);
// Larger bodies than any configuration of thousands of routes.
constexpr size_t kMaxBodyBytes = 8 << 20;

}  // namespace

struct ControlHost::State : std::enable_shared_from_this<ControlHost::State> {
  State(Runtime& runtime, ControlHostOptions given);

  void TakeAgreed(uint64_t version, const std::string& text);
  void OnNews(const HostId& from, const WatchReply& reply);
  void Tick();
  // Takes outcomes that didn't wait for a watch call.
  void TakeUrgent(const OutcomeReport& report);
  // Makes the list of outliers anew.
  void JudgeTargets();
  std::string PrintMetrics() const;
  std::shared_ptr<RolloutOwner> MakeRolloutOwner();
  // Live ones, this one among them.
  std::vector<ControlHostRecord> ControlHosts() const;

  Runtime& runtime;
  ControlHostOptions options;
  HostId self;
  std::vector<HostId> seeds;
  ControlLinks links;
  ZoneConnectivity connectivity;
  TargetRegistry registry;
  OutcomeCollector outcomes;
  bool is_judging_soon = false;
  std::shared_ptr<ControlReplica> replica;
  std::unique_ptr<ControlService> service;
  std::unique_ptr<AgreedEditor> editor;
  std::unique_ptr<ReplicaMembership> membership;
  std::unique_ptr<WatchHub> hub;
  std::unique_ptr<DirectoryCache> directory;
  std::unique_ptr<ControlFollower> follower;
  std::shared_ptr<RolloutOwner> rollouts;
  std::unique_ptr<PeerServer> peers;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpServer> metrics_server;
  AgreedValue agreed;
  int ticks = 0;
  uint64_t announcements = 0;
  bool is_stopped = false;
};

ControlHost::State::State(Runtime& runtime, ControlHostOptions given)
    : runtime(runtime),
      options(std::move(given)),
      self(ControlHostId(this->options.settings.peer_address)),
      seeds(SeedIds(this->options.settings)),
      links(runtime),
      connectivity(this->options.settings.zone),
      registry({.self = this->self,
                .silent_after = this->options.settings.heartbeat_interval *
                                kMissedHeartbeats}) {}

std::vector<ControlHostRecord> ControlHost::State::ControlHosts() const {
  std::vector<ControlHostRecord> hosts = this->follower->LiveRecords();
  hosts.push_back({.host = this->self, .zone = this->options.settings.zone});
  std::ranges::sort(hosts);
  return hosts;
}

// Only what is known to be chosen comes here; versions only rise.
void ControlHost::State::TakeAgreed(uint64_t version, const std::string& text) {
  if (this->agreed.Take(version, text)) {
    this->rollouts->SetRollouts(this->agreed.rollouts());
    this->hub->Wake();
  }
}

void ControlHost::State::OnNews(const HostId& from, const WatchReply& reply) {
  if (reply.zone != this->options.settings.zone) {
    if (reply.has_outliers) {
      this->outcomes.detector().LearnOthers(from, reply.outliers.put,
                                            Runtime::Now());
    } else {
      this->outcomes.detector().HearOthers(from, Runtime::Now());
    }
  }
  const uint64_t before = this->registry.revision();
  for (const TargetRecord& record : reply.targets) {
    this->registry.Merge(record, Runtime::Now());
  }
  if (reply.has_hosts) {
    this->hub->LearnEntryHosts(from, reply.entry_hosts.put);
  }
  if (this->registry.revision() != before) {
    this->hub->Wake();
  }
}

void ControlHost::State::TakeUrgent(const OutcomeReport& report) {
  const TimePoint due = this->outcomes.AddUrgent(report, Runtime::Now());
  if (report.role == FollowerRole::kEntry) {
    this->follower->ReportSoon();
  }
  if (std::exchange(this->is_judging_soon, true)) {
    return;
  }
  this->runtime.Spawn([self = this->shared_from_this(), due] {
    Runtime::SleepFor(std::max(Duration::zero(), due - Runtime::Now()));
    self->is_judging_soon = false;
    if (!self->is_stopped) {
      self->JudgeTargets();
    }
  });
}

void ControlHost::State::JudgeTargets() {
  const bool is_changed = this->outcomes.Judge(
      [this](const TargetId& target) {
        const TargetRecord* const record = this->registry.Find(target);
        return record == nullptr || record->phase == TargetPhase::kGone
                   ? ServiceId()
                   : record->service;
      },
      Runtime::Now());
  if (!is_changed) {
    return;
  }
  const OutlierDetector& detector = this->outcomes.detector();
  LogLine("outliers_changed")
      .Add("count", detector.outliers().size())
      .Add("revision", detector.revision())
      .Add("worst", DescribeOutliers(detector.outliers()))
      .Info();
  this->hub->Wake();
}

void ControlHost::State::Tick() {
  const TimePoint now = Runtime::Now();
  const std::vector<ControlHostRecord> live = this->ControlHosts();
  const uint64_t before = this->registry.revision();
  this->registry.Sweep(
      [&](const HostId& host) {
        return std::ranges::find(live, host, &ControlHostRecord::host) !=
               live.end();
      },
      now);
  if (this->registry.revision() != before) {
    this->hub->Wake();
  }
  this->hub->Sweep();
  this->rollouts->Tick();
  if (this->connectivity.Update(live, this->follower->HearsAll())) {
    this->hub->Wake();
  }
  if (++this->ticks % kOutlierTicks == 0) {
    this->JudgeTargets();
  }
  if (this->options.on_tick) {
    this->options.on_tick();
  }
}

std::string ControlHost::State::PrintMetrics() const {
  std::ostringstream out;
  const auto add = [&](const char* name, const char* type, uint64_t value) {
    out << "# TYPE knapweedroad_control_" << name << " " << type
        << "\nknapweedroad_control_" << name << " " << value << "\n";
  };
  add("announcements_total", "counter", this->announcements);
  add("changes_accepted_total", "counter", this->editor->accepted());
  add("changes_unknown_total", "counter", this->editor->unknown());
  add("targets", "gauge", this->registry.size());
  add("entry_hosts", "gauge", this->hub->EntryHosts().size());
  add("agreed_version", "gauge", this->agreed.version());
  add("rollouts_owned", "gauge", this->rollouts->owned());
  add("disk_failed", "gauge", this->replica->broken() ? 1 : 0);
  return std::move(out).str();
}

std::shared_ptr<RolloutOwner> ControlHost::State::MakeRolloutOwner() {
  const RoleSettings& settings = this->options.settings;
  return std::make_shared<RolloutOwner>(
      this->runtime,
      RolloutOwnerOptions{
          .self = this->self,
          .exposure = {.share = settings.exposure_share,
                       .slack = settings.exposure_slack},
          .registry = this->registry,
          .entry_hosts =
              [this] {
                std::vector<HostId> hosts;
                for (const EntryHostRecord& record : this->hub->EntryHosts()) {
                  hosts.push_back(record.host);
                }
                return hosts;
              },
          .live_control_hosts =
              [this] {
                std::vector<HostId> live = this->follower->LiveHosts();
                live.push_back(this->self);
                return live;
              },
          .known_control_hosts =
              [this] { return this->follower->KnownHosts().size() + 1; },
          .agree =
              [this](const std::string& name,
                     std::function<void(std::vector<RolloutRecord>&)> edit) {
                return this->editor->EditRollouts(
                    name, std::move(edit), Runtime::Now() + kAgreeTimeout);
              }});
}

ControlHost::ControlHost(Runtime& runtime, ControlHostOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

ControlHost::~ControlHost() {
  State& self = *this->state;
  self.is_stopped = true;
  if (self.membership != nullptr) {
    self.membership->Stop();
  }
  if (self.hub != nullptr) {
    self.hub->Stop();
  }
  self.follower.reset();
  self.peers.reset();
  self.server.reset();
  self.metrics_server.reset();
  self.runtime.KeepUntilEnd(std::move(this->state));
}

tl::expected<void, std::string> ControlHost::Start() {
  State& self = *this->state;
  const RoleSettings& settings = self.options.settings;
  if (!settings.control_address || !settings.data_folder) {
    return tl::unexpected(
        std::string("the settings give no control_address and data_folder: a "
                    "control host needs both"));
  }
  auto replica = ControlReplica::Open(
      self.runtime, {.host = self.self, .folder = *settings.data_folder});
  if (!replica) {
    return tl::unexpected(replica.error().path + ": " + replica.error().detail);
  }
  self.replica = std::move(*replica);
  self.follower = std::make_unique<ControlFollower>(
      self.runtime,
      ControlFollowerOptions{
          .self = self.self,
          .zone = settings.zone,
          .role = FollowerRole::kControl,
          .most_links = 0,
          .seeds = [&self] { return self.seeds; },
          .held_version = [&self] { return self.agreed.version(); },
          .take_outcomes =
              [&self](const HostId& to) {
                return self.outcomes.TakeFor(to, Runtime::Now());
              },
          .on_reply =
              [&self](const HostId& from, const WatchReply& reply) {
                self.OnNews(from, reply);
              },
          .on_agreed =
              [&self](uint64_t version, const std::string& text) {
                self.TakeAgreed(version, text);
              }});
  self.hub = std::make_unique<WatchHub>(
      self.runtime,
      WatchHubOptions{
          .self = self.self,
          .zone = settings.zone,
          .registry = self.registry,
          .detector = self.outcomes.detector(),
          .agreed_version = [&self] { return self.agreed.version(); },
          .control_hosts = [&self] { return self.ControlHosts(); },
          .is_cut_off = [&self] { return self.connectivity.is_cut_off(); },
          .hears_all = [&self] { return self.connectivity.hears_all(); },
          .on_outcomes =
              [&self](const OutcomeReport& report) {
                self.outcomes.Add(report, Runtime::Now());
              },
          .on_control_follower =
              [&self](const HostId& host) { self.follower->Hear(host); }});
  self.directory =
      std::make_unique<DirectoryCache>(self.runtime, *settings.data_folder);
  const DirectorySnapshot known = self.directory->Load();
  for (const TargetRecord& record : known.targets) {
    self.registry.Merge(record, Runtime::Now());
  }
  self.hub->RememberEntryHosts(known.entry_hosts);
  LogLine("directory_read")
      .Add("targets", known.targets.size())
      .Add("entry_hosts", known.entry_hosts.size())
      .Info();
  self.service = std::make_unique<ControlService>(
      self.runtime,
      ControlServiceOptions{
          .self = self.self,
          .first_hosts =
              settings.first_start ? self.seeds : std::vector<HostId>(),
          .replica = self.replica,
          .call =
              [&self](const HostId& host, const std::string& message,
                      TimePoint deadline) {
                return self.links.Call(host, message, deadline);
              },
          .on_chosen =
              [&self](const ControlValue& value) {
                self.TakeAgreed(value.version, value.configuration);
              }});
  self.editor = std::make_unique<AgreedEditor>(AgreedEditorOptions{
      .author = OperatorId("control-" + self.self.str()),
      .service = *self.service,
      .on_chosen = [&self](uint64_t version, const std::string& text) {
        self.TakeAgreed(version, text);
      }});
  self.rollouts = self.MakeRolloutOwner();
  self.membership =
      std::make_unique<ReplicaMembership>(ReplicaMembershipOptions{
          .self = self.replica->id(),
          .first_start = settings.first_start,
          .service = *self.service,
          .hosts =
              [&self] {
                std::vector<HostId> hosts = self.follower->KnownHosts();
                hosts.push_back(self.self);
                return hosts;
              },
          .has_version = [&self] { return self.agreed.version() > 0; },
          .on_chosen =
              [&self](uint64_t version, const std::string& text) {
                self.TakeAgreed(version, text);
              }});
  self.peers = std::make_unique<PeerServer>(
      self.runtime,
      PeerServerOptions{
          .endpoint = settings.peer_address,
          .handler = [&self](PeerMessageType type, const std::string& body) {
            return AnswerPeerCall({.replica = *self.replica,
                                   .hub = *self.hub,
                                   .agreed = self.agreed,
                                   .rollouts = *self.rollouts,
                                   .on_outcomes =
                                       [&self](const OutcomeReport& report) {
                                         self.TakeUrgent(report);
                                       }},
                                  type, body);
          }});
  if (const auto port = self.peers->Start(); !port) {
    return tl::unexpected(port.error().detail);
  }
  self.server = std::make_unique<HttpServer>(
      self.runtime,
      HttpServerOptions{.endpoint = *settings.control_address,
                        .handler =
                            [&self](const HttpRequest& request, HttpExchange&) {
                              return self.options.on_request(request);
                            },
                        .max_body_bytes = kMaxBodyBytes});
  if (const auto port = self.server->Start(); !port) {
    return tl::unexpected(port.error().detail);
  }
  auto metrics_server = StartMetricsServer(
      self.runtime, settings, [&self] { return self.PrintMetrics(); });
  if (!metrics_server) {
    return tl::unexpected(metrics_server.error());
  }
  self.metrics_server = *std::move(metrics_server);
  self.follower->Start();
  self.runtime.Spawn([state = this->state] { state->membership->Run(); });
  self.runtime.Spawn([state = this->state] {
    state->directory->KeepSaved(
        [&state] {
          return std::pair(state->registry.revision(),
                           state->hub->hosts_revision());
        },
        [&state] {
          return DirectorySnapshot{
              .targets = state->registry.ChangedSince(0, Runtime::Now()),
              .entry_hosts = state->hub->EntryHosts()};
        },
        [&state] { return state->is_stopped; });
  });
  RepeatEvery(self.runtime, kTick, [state = this->state] {
    if (!state->is_stopped) {
      state->Tick();
    }
    return !state->is_stopped;
  });
  return {};
}

void ControlHost::Reload(const RoleSettings& settings) {
  this->state->seeds = SeedIds(settings);
  LogReload(settings);
}

void ControlHost::Shutdown() {
  LogLine("leaving").Add("host", this->state->options.settings.name).Info();
  this->state->server->Stop(Runtime::Now() + kStopWait);
}

AnnounceResult ControlHost::Announce(TargetRecord record) {
  State& self = *this->state;
  ++self.announcements;
  const uint64_t before = self.registry.revision();
  const TargetId id = record.id;
  const TargetPhase phase = record.phase;
  const AnnounceResult result =
      self.registry.Announce(std::move(record), Runtime::Now());
  if (self.registry.revision() != before) {
    LogLine("target_announced")
        .Add("target", id)
        .Add("phase", static_cast<int>(phase))
        .Add("result", static_cast<int>(result))
        .Info();
    self.hub->Wake();
  }
  return result;
}

std::optional<Endpoint> ControlHost::NearerHost(const ZoneId& zone,
                                                const TargetId& target) const {
  const State& self = *this->state;
  const std::vector<ControlHostRecord> live = self.follower->LiveRecords();
  const auto host = NearerControlHost(
      live,
      {.reached = self.options.settings.zone, .zone = zone, .target = target});
  if (!host) {
    return std::nullopt;
  }
  // Control hosts serve targets at the same port.
  return Endpoint{.ip = EndpointOf(*host).ip,
                  .port = self.options.settings.control_address->port};
}

void ControlHost::SignOff(const TargetId& id,
                          uint64_t started_ms,
                          uint64_t sequence) {
  State& self = *this->state;
  self.registry.SignOff(id, started_ms, sequence, Runtime::Now());
  LogLine("target_signed_off").Add("target", id).Info();
  self.hub->Wake();
}

bool ControlHost::PutRouting(uint64_t number,
                             std::string text,
                             TimePoint deadline) {
  if (number <= this->state->agreed.number()) {
    return true;
  }
  return this->state->editor->PutRouting(number, std::move(text), deadline);
}

bool ControlHost::SetZoneOut(const ZoneId& zone,
                             bool is_out,
                             TimePoint deadline) {
  return this->state->editor->SetZoneOut(zone, is_out, deadline);
}

bool ControlHost::OrderRollout(const ServiceId& service,
                               const VersionId& version,
                               Duration duration,
                               TimePoint deadline) {
  State& self = *this->state;
  const RolloutRequest request{
      .service = service,
      .candidate = version,
      .serving = self.registry.VersionInUse(service, version),
      .duration = duration,
      .owner = self.self,
      .now_ms = UnixMs(),
      .resend_window = self.options.settings.order_resend_window};
  LogLine("rollout_ordered")
      .Add("service", service)
      .Add("candidate", version)
      .Add("stable", request.serving)
      .Add("duration_ms", duration / milliseconds(1))
      .Info();
  return self.editor->EditRollouts(
      "roll-out of " + service.str() + " to " + version.str(),
      [request](std::vector<RolloutRecord>& rollouts) {
        PlaceOrder(rollouts, request);
      },
      deadline);
}

bool ControlHost::HasTargets(const ServiceId& service) const {
  return this->state->registry.HasTargets(service);
}

std::optional<AgreedState> ControlHost::ReadAgreed(TimePoint deadline) {
  return this->state->editor->Read(deadline);
}

}  // namespace knapweedroad
