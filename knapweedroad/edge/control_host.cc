#include "knapweedroad/edge/control_host.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/control/membership_controller.h"
#include "knapweedroad/edge/control_follower.h"
#include "knapweedroad/edge/directory_cache.h"
#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/edge/watch_hub.h"
#include "knapweedroad/host/control_replica.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/peer_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/registry/outlier_detector.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(100);
// Ticks between judgements of targets. Each change wakes all followers, so this
// also bounds their calls.
constexpr int kOutlierTicks = 3;
// How often all replicas are asked what they hold. A version whose announcer
// died right after its acknowledgement is in force after this at the latest.
constexpr Duration kPeekInterval = milliseconds(700);
constexpr Duration kPeekTimeout = milliseconds(350);
// The same until a first version is known: after a loss of power no host serves
// before that, and a quorum is there within a few hundred milliseconds.
constexpr Duration kFirstPeekInterval = milliseconds(60);
constexpr Duration kFirstPeekTimeout = milliseconds(120);
constexpr Duration kMoveTimeout = milliseconds(3000);
constexpr Duration kFormTimeout = milliseconds(2000);
// What is known of targets is written down at most this often, and after a
// refusal of the disk not sooner than the pause.
constexpr Duration kDirectoryInterval = milliseconds(500);
constexpr Duration kDirectoryPause = milliseconds(2000);
// Announcements missed before a target counts as silent.
constexpr int kMissedHeartbeats = 3;
// Calls that are running at a stop get this long.
constexpr Duration kStopWait = milliseconds(300);
// Larger bodies than any configuration of thousands of routes.
constexpr size_t kMaxBodyBytes = 8 << 20;

HostId OwnId(const RoleSettings& settings) {
  return ControlHostId(settings.peer_address);
}

RequestId RandomRequestId() {
  std::random_device device;
  return RequestId(std::to_string((uint64_t{device()} << 32) | device()));
}

}  // namespace

struct ControlHost::State : std::enable_shared_from_this<ControlHost::State> {
  State(Runtime& runtime, ControlHostOptions given);

  tl::expected<std::string, std::string> OnPeerCall(PeerMessageType type,
                                                    const std::string& body);
  tl::expected<std::string, std::string> CallControl(const HostId& host,
                                                     const std::string& message,
                                                     TimePoint deadline);
  void TakeAgreed(uint64_t version, const std::string& text);
  void OnNews(const HostId& from, const WatchReply& reply);
  void KeepMembers();
  // There is a version, but this host hasn't learned any since its start.
  bool LooksForFirstVersion() const {
    return this->agreed_version == 0 && !this->options.settings.first_start;
  }
  void KeepDirectory();
  void Act(const MemberAction& action);
  void Tick();
  void WatchZones(const std::vector<ControlHostRecord>& live);
  // Makes the list of outliers anew.
  void DetectOutliers(TimePoint now);
  std::string PrintMetrics() const;
  bool Edit(const std::string& name,
            std::function<void(AgreedState&)> edit,
            TimePoint deadline);
  // Live ones, this one among them.
  std::vector<ControlHostRecord> ControlHosts() const;

  Runtime& runtime;
  ControlHostOptions options;
  HostId self;
  std::vector<HostId> seeds;
  TargetRegistry registry;
  OutlierDetector detector;
  std::shared_ptr<ControlReplica> replica;
  std::unique_ptr<ControlService> service;
  std::unique_ptr<WatchHub> hub;
  std::unique_ptr<DirectoryCache> directory;
  std::unique_ptr<ControlFollower> follower;
  std::unique_ptr<PeerServer> peers;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpServer> metrics_server;
  std::map<HostId, std::unique_ptr<PeerClient>> control_links;
  uint64_t agreed_version = 0;
  std::string agreed_text;
  uint64_t agreed_number = 0;
  int ticks = 0;
  uint64_t announcements = 0;
  uint64_t changes_accepted = 0;
  uint64_t changes_unknown = 0;
  // Whether control hosts of other zones were ever reached, and now aren't.
  bool has_reached_others = false;
  bool is_cut_off = false;
  // Whether all other control hosts are heard.
  bool hears_all = false;
  bool is_stopped = false;
};

ControlHost::State::State(Runtime& runtime, ControlHostOptions given)
    : runtime(runtime),
      options(std::move(given)),
      self(OwnId(this->options.settings)),
      seeds(SeedIds(this->options.settings)),
      registry({.self = this->self,
                .silent_after = this->options.settings.heartbeat_interval *
                                kMissedHeartbeats}) {}

std::vector<ControlHostRecord> ControlHost::State::ControlHosts() const {
  std::vector<ControlHostRecord> hosts = this->follower->LiveRecords();
  hosts.push_back({.host = this->self, .zone = this->options.settings.zone});
  std::ranges::sort(hosts);
  return hosts;
}

tl::expected<std::string, std::string> ControlHost::State::CallControl(
    const HostId& host,
    const std::string& message,
    TimePoint deadline) {
  auto& link = this->control_links[host];
  if (link == nullptr) {
    link = std::make_unique<PeerClient>(
        this->runtime, PeerClientOptions{.endpoint = EndpointOf(host)});
  }
  auto reply = link->Call(PeerMessageType::kControl, message, deadline);
  if (!reply) {
    return tl::unexpected(std::move(reply.error().detail));
  }
  return *std::move(reply);
}

tl::expected<std::string, std::string> ControlHost::State::OnPeerCall(
    PeerMessageType type,
    const std::string& body) {
  if (type == PeerMessageType::kControl) {
    return this->replica->OnPeerMessage(body);
  }
  if (type == PeerMessageType::kWatch) {
    const auto call = DecodePacked<WatchCall>(body);
    if (!call) {
      return tl::unexpected("unreadable call: " + call.error());
    }
    return this->hub->Answer(*call);
  }
  if (type == PeerMessageType::kPull) {
    const auto call = DecodeBytes<PullCall>(body);
    if (!call) {
      return tl::unexpected("unreadable call: " + call.error());
    }
    PullReply reply{.agreed_version = this->agreed_version};
    if (call->held_version < this->agreed_version) {
      reply.agreed_text = this->agreed_text;
    }
    // The text is packed already.
    return EncodePacked(reply);
  }
  return tl::unexpected(std::string("not a call of control hosts"));
}

// Only what is known to be chosen comes here; versions only rise.
void ControlHost::State::TakeAgreed(uint64_t version, const std::string& text) {
  if (version <= this->agreed_version) {
    return;
  }
  const auto state = DecodeAgreedState(text);
  if (!state) {
    LogLine("agreed_state_unreadable")
        .Add("version", version)
        .Add("detail", state.error())
        .Error();
    return;
  }
  this->agreed_version = version;
  this->agreed_text = text;
  this->agreed_number = state->number;
  LogLine("agreed")
      .Add("version", version)
      .Add("number", state->number)
      .Add("zones_out", state->zones_out.size())
      .Info();
  this->hub->Wake();
}

void ControlHost::State::OnNews(const HostId& from, const WatchReply& reply) {
  if (reply.zone != this->options.settings.zone) {
    if (reply.has_outliers) {
      this->detector.LearnOthers(from, reply.outliers, Runtime::Now());
    } else {
      this->detector.HearOthers(from, Runtime::Now());
    }
  }
  const uint64_t before = this->registry.revision();
  for (const TargetRecord& record : reply.targets) {
    this->registry.Merge(record, Runtime::Now());
  }
  if (reply.has_hosts) {
    this->hub->LearnEntryHosts(from, reply.own_entry_hosts);
  }
  if (this->registry.revision() != before) {
    this->hub->Wake();
  }
}

void ControlHost::State::Act(const MemberAction& action) {
  const TimePoint now = Runtime::Now();
  if (action.step == MemberStep::kNone) {
    return;
  }
  if (action.step == MemberStep::kForm) {
    const bool is_formed = this->service->Read(now + kFormTimeout).has_value();
    LogLine("membership_forming").Add("formed", is_formed).Info();
    return;
  }
  ChangeOutcome outcome;
  if (action.step == MemberStep::kCarryOn) {
    outcome = this->service->CarryOn(now + kMoveTimeout);
  } else {
    outcome = this->service->Move(
        {.author = {OperatorId("members-" + this->self.str()),
                    RandomRequestId()},
         .leaving = action.leaving,
         .joining = action.joining,
         .give_up = action.step == MemberStep::kGiveUp},
        now + kMoveTimeout);
  }
  LogLine("members_changed")
      .Add("step", static_cast<int>(action.step))
      .Add("leaving", action.leaving.value_or(HostId("none")))
      .Add("joining", action.joining.value_or(HostId("none")))
      .Add("accepted", outcome.result == ChangeResult::kAccepted)
      .Add("detail", outcome.detail)
      .Info();
}

void ControlHost::State::KeepMembers() {
  MembershipController watch({.self = this->replica->id(),
                              .may_form = this->options.settings.first_start});
  std::mt19937 random(std::random_device{}());
  while (!this->is_stopped) {
    if (!this->options.settings.first_start || this->agreed_version > 0) {
      std::vector<HostId> hosts = this->follower->KnownHosts();
      hosts.push_back(this->self);
      this->service->AskHosts(hosts);
    }
    const ControlPeek peek = this->service->Peek(
        Runtime::Now() +
        (this->LooksForFirstVersion() ? kFirstPeekTimeout : kPeekTimeout));
    MemberView view{.is_formed = peek.is_formed, .reachable = peek.reachable};
    if (peek.chosen) {
      view.members = peek.chosen->value.members;
      this->service->Learn(*peek.chosen);
      this->TakeAgreed(peek.chosen->value.version,
                       peek.chosen->value.configuration);
    }
    this->Act(watch.Decide(view, Runtime::Now()));
    // By lot, so that hosts which want the same don't want it together.
    std::uniform_int_distribution<int64_t> part(50, 100);
    const Duration interval =
        this->LooksForFirstVersion() ? kFirstPeekInterval : kPeekInterval;
    Runtime::SleepFor(interval * part(random) / 100);
  }
}

void ControlHost::State::KeepDirectory() {
  uint64_t saved_targets = 0;
  uint64_t saved_hosts = 0;
  while (!this->is_stopped) {
    Runtime::SleepFor(kDirectoryInterval);
    const uint64_t targets = this->registry.revision();
    const uint64_t hosts = this->hub->hosts_revision();
    if (targets == saved_targets && hosts == saved_hosts) {
      continue;
    }
    const bool is_saved = this->directory->Save(
        {.targets = this->registry.ChangedSince(0, Runtime::Now()),
         .entry_hosts = this->hub->EntryHosts()});
    if (is_saved) {
      saved_targets = targets;
      saved_hosts = hosts;
    } else {
      Runtime::SleepFor(kDirectoryPause);
    }
  }
}

void ControlHost::State::WatchZones(
    const std::vector<ControlHostRecord>& live) {
  const ZoneId& own = this->options.settings.zone;
  const bool reaches_others =
      std::ranges::any_of(live, [&](const ControlHostRecord& host) {
        return !host.zone.empty() && host.zone != own;
      });
  this->has_reached_others |= reaches_others;
  const bool is_cut_off = this->has_reached_others && !reaches_others;
  if (std::exchange(this->is_cut_off, is_cut_off) != is_cut_off) {
    LogLine(is_cut_off ? "zone_cut_off" : "zone_reached")
        .Add("zone", own)
        .Add("control_hosts", live.size())
        .Warning();
    this->hub->Wake();
  }
  const bool hears = this->follower->HearsAll();
  if (std::exchange(this->hears_all, hears) != hears) {
    LogLine(hears ? "control_hosts_all_heard" : "control_hosts_missed")
        .Add("control_hosts", live.size())
        .Info();
    this->hub->Wake();
  }
}

void ControlHost::State::DetectOutliers(TimePoint now) {
  const bool is_changed = this->detector.Refresh(
      [this](const TargetId& target) {
        const TargetRecord* const record = this->registry.Find(target);
        return record == nullptr || record->phase == TargetPhase::kGone
                   ? ServiceId()
                   : record->service;
      },
      now);
  if (!is_changed) {
    return;
  }
  constexpr size_t kMostNamed = 8;
  std::string worst;
  for (const TargetOutlier& outlier : this->detector.outliers()) {
    if (worst.size() > kMostNamed * outlier.target.str().size()) {
      break;
    }
    worst += outlier.target.str() +
             "(failed_eighths:" + std::to_string(outlier.failed) +
             ",slowdown:" + std::to_string(outlier.slowdown) + ") ";
  }
  LogLine("outliers_changed")
      .Add("count", this->detector.outliers().size())
      .Add("revision", this->detector.revision())
      .Add("worst", worst)
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
  this->WatchZones(live);
  if (++this->ticks % kOutlierTicks == 0) {
    this->DetectOutliers(now);
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
  add("changes_accepted_total", "counter", this->changes_accepted);
  add("changes_unknown_total", "counter", this->changes_unknown);
  add("targets", "gauge", this->registry.size());
  add("entry_hosts", "gauge", this->hub->EntryHosts().size());
  add("agreed_version", "gauge", this->agreed_version);
  add("disk_failed", "gauge", this->replica->broken() ? 1 : 0);
  return std::move(out).str();
}

bool ControlHost::State::Edit(const std::string& name,
                              std::function<void(AgreedState&)> edit,
                              TimePoint deadline) {
  const ChangeOutcome outcome = this->service->Change(
      {.author = {OperatorId("control-" + this->self.str()), RandomRequestId()},
       .edit = [edit = std::move(edit)](std::string_view held)
           -> tl::expected<std::string, std::string> {
         auto state = DecodeAgreedState(held);
         if (!state) {
           return tl::unexpected(state.error());
         }
         edit(*state);
         return EncodeAgreedState(*state);
       },
       .edit_name = name,
       .only_if_changed = true},
      deadline);
  const bool is_accepted = outcome.result == ChangeResult::kAccepted;
  ++(is_accepted ? this->changes_accepted : this->changes_unknown);
  LogLine("change")
      .Add("change", name)
      .Add("accepted", is_accepted)
      .Add("version", outcome.version)
      .Add("detail", outcome.detail)
      .Info();
  return is_accepted;
}

ControlHost::ControlHost(Runtime& runtime, ControlHostOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

ControlHost::~ControlHost() {
  this->state->is_stopped = true;
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
          .held_version = [&self] { return self.agreed_version; },
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
          .detector = self.detector,
          .agreed_version = [&self] { return self.agreed_version; },
          .control_hosts = [&self] { return self.ControlHosts(); },
          .is_cut_off = [&self] { return self.is_cut_off; },
          .hears_all = [&self] { return self.hears_all; },
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
                return self.CallControl(host, message, deadline);
              },
          .on_chosen =
              [&self](const ControlValue& value) {
                self.TakeAgreed(value.version, value.configuration);
              }});
  self.peers = std::make_unique<PeerServer>(
      self.runtime,
      PeerServerOptions{
          .endpoint = settings.peer_address,
          .handler = [&self](PeerMessageType type, const std::string& body) {
            return self.OnPeerCall(type, body);
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
  self.runtime.Spawn([state = this->state] { state->KeepMembers(); });
  self.runtime.Spawn([state = this->state] { state->KeepDirectory(); });
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
  if (number <= this->state->agreed_number) {
    return true;
  }
  return this->state->Edit(
      "configuration " + std::to_string(number),
      [number, text = std::move(text)](AgreedState& state) {
        PutIfNewer(state, number, text);
      },
      deadline);
}

bool ControlHost::SetZoneOut(const ZoneId& zone,
                             bool is_out,
                             TimePoint deadline) {
  return this->state->Edit(
      "zone " + zone.str() + (is_out ? " out" : " in"),
      [zone, is_out](AgreedState& state) {
        knapweedroad::SetZoneOut(state, zone, is_out);
      },
      deadline);
}

std::optional<AgreedState> ControlHost::ReadAgreed(TimePoint deadline) {
  State& self = *this->state;
  const ControlPeek peek = self.service->Peek(
      std::min(deadline, Runtime::Now() + kPeekTimeout), /*soon=*/true);
  std::string text;
  if (peek.chosen) {
    self.TakeAgreed(peek.chosen->value.version,
                    peek.chosen->value.configuration);
    text = peek.chosen->value.configuration;
  } else {
    const auto value = self.service->Read(deadline);
    if (!value) {
      return std::nullopt;
    }
    text = value->configuration;
  }
  auto state = DecodeAgreedState(text);
  if (!state) {
    LogLine("agreed_state_unreadable").Add("detail", state.error()).Error();
    return std::nullopt;
  }
  return *std::move(state);
}

}  // namespace knapweedroad
