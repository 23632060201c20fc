// How the parts of a control host are made and joined.

#include <utility>
#include <vector>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/log_line.h"
#include "knapweedroad/control/control_contacts.h"
#include "knapweedroad/edge/call_origin.h"
#include "knapweedroad/edge/control_host_state.h"
#include "knapweedroad/edge/peer_calls.h"
#include "knapweedroad/edge/quota_calls.h"
#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/quota/quota_messages.h"
#include "knapweedroad/registry/target_record_check.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(100);
constexpr Duration kReopenInterval = milliseconds(500);
constexpr Duration kAgreeTimeout = milliseconds(2000);
// Larger bodies than any configuration of thousands of routes.
constexpr size_t kMaxBodyBytes = 8 << 20;
constexpr const char* kDiskSource = "disk";

}  // namespace

tl::expected<void, std::string> ControlHost::State::OpenReplica() {
  if (!this->options.settings.control_address ||
      !this->options.settings.data_folder) {
    return tl::unexpected(
        std::string("the settings give no control_address and data_folder: a "
                    "control host needs both"));
  }
  const ControlReplicaOptions replica_options{
      .host = this->self, .folder = *this->options.settings.data_folder};
  auto replica = ControlReplica::Open(this->runtime, replica_options);
  if (!replica) {
    LogLine("control_replica_refused")
        .Add("path", replica.error().path)
        .Add("offset", replica.error().offset)
        .Add("detail", replica.error().detail)
        .Error();
  }
  // A faulty or full disk refuses writes for a while only; a host that ended
  // for it would be a lost member for good.
  while (!replica && replica.error().kind == StorageErrorKind::kIo) {
    if (this->options.on_tick) {
      this->options.on_tick();
    }
    Runtime::SleepFor(kReopenInterval);
    replica = ControlReplica::Open(this->runtime, replica_options);
  }
  if (!replica) {
    return tl::unexpected(replica.error().path + ": " + replica.error().detail);
  }
  this->replica = std::move(*replica);
  return {};
}

void ControlHost::State::MakeFollower() {
  this->follower = std::make_unique<ControlFollower>(
      this->runtime,
      ControlFollowerOptions{
          .self = this->self,
          .zone = this->options.settings.zone,
          .role = FollowerRole::kControl,
          .most_links = 0,
          .seeds =
              [this] {
                return ControlContacts(this->seeds, this->replica->accepted(),
                                       this->service->known());
              },
          .held_version = [this] { return this->agreed.version(); },
          .take_outcomes =
              [this](const HostId& to) {
                return this->outcomes.TakeUnforwarded(to, Runtime::Now());
              },
          .on_reply =
              [this](const HostId& from, const WatchReply& reply) {
                this->OnNews(from, reply);
              },
          .on_agreed =
              [this](uint64_t version, const std::string& text) {
                this->TakeAgreed(version, text);
              }});
}

void ControlHost::State::MakeHub() {
  this->hub = std::make_unique<WatchHub>(
      this->runtime,
      WatchHubOptions{
          .self = this->self,
          .zone = this->options.settings.zone,
          .registry = this->registry,
          .detector = this->outcomes.detector(),
          .agreed_version = [this] { return this->agreed.version(); },
          .control_hosts = [this] { return this->ControlHosts(); },
          .is_cut_off = [this] { return this->connectivity.is_cut_off(); },
          .hears_all = [this] { return this->connectivity.hears_all(); },
          .has_quorum = [this] { return this->follower->HasQuorum(); },
          .on_outcomes =
              [this](const OutcomeReport& report) {
                this->outcomes.Add(report, Runtime::Now());
              },
          .on_control_follower =
              [this](const HostId& host) { this->follower->Hear(host); }});
}

void ControlHost::State::ReadDirectory() {
  this->directory = std::make_unique<DirectoryCache>(
      this->runtime, *this->options.settings.data_folder);
  const DirectorySnapshot known = this->directory->Load();
  for (const TargetRecord& record : known.targets) {
    if (IsUsableRecord(record, kDiskSource)) {
      this->registry.Merge(record, Runtime::Now());
    }
  }
  this->hub->RememberEntryHosts(known.entry_hosts);
  this->departure_store = std::make_unique<DepartureStore>(
      this->runtime,
      DepartureStoreOptions{.folder = *this->options.settings.data_folder});
  const std::vector<TargetRecord> departures = this->departure_store->Load();
  for (const TargetRecord& departure : departures) {
    if (IsUsableRecord(departure, kDiskSource)) {
      this->registry.Merge(departure, Runtime::Now());
    }
  }
  LogLine("directory_read")
      .Add("targets", known.targets.size())
      .Add("departures", departures.size())
      .Add("entry_hosts", known.entry_hosts.size())
      .Info();
}

void ControlHost::State::MakeAgreement() {
  this->service = std::make_unique<ControlService>(
      this->runtime,
      ControlServiceOptions{
          .self = this->self,
          .first_hosts = this->options.settings.first_start
                             ? this->seeds
                             : std::vector<HostId>(),
          .replica = this->replica,
          .call =
              [this](const HostId& host, const std::string& message,
                     TimePoint deadline) {
                return this->links.Call(host, PeerMessageType::kControl,
                                        message, deadline);
              },
          .on_chosen =
              [this](const ControlValue& value) {
                this->TakeAgreed(value.version, value.configuration);
              }});
  this->editor = std::make_unique<AgreedEditor>(AgreedEditorOptions{
      .author = OperatorId("control-" + this->self.str()),
      .service = *this->service,
      .last_look =
          [this] {
            return this->membership == nullptr ? ControlPeek()
                                               : this->membership->last_look();
          },
      .on_chosen =
          [this](uint64_t version, const std::string& text) {
            this->TakeAgreed(version, text);
          }});
  this->orders = std::make_unique<OrderGuard>(OrderGuardOptions{
      .read_version =
          [this](BootTime deadline) {
            return this->editor->ReadVersion(Runtime::Now() +
                                             (deadline - BootClock::now()));
          },
      .now = BootClock::now,
      .wait = [](Duration span) { Runtime::SleepFor(span); },
      .standstill = this->standstill});
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
          .has_quorum = [this] { return this->follower->HasQuorum(); },
          .agree =
              [this](const std::string& name,
                     std::function<void(std::vector<RolloutRecord>&)> edit) {
                return this->editor->EditRollouts(
                    name, std::move(edit), Runtime::Now() + kAgreeTimeout);
              }});
}

std::shared_ptr<QuotaService> ControlHost::State::MakeQuotaService() {
  const RoleSettings& settings = this->options.settings;
  return std::make_shared<QuotaService>(
      this->runtime,
      QuotaServiceOptions{
          .self = this->self,
          .tolerance = {.window = settings.quota_window,
                        .overshoot = settings.quota_overshoot,
                        .slack = settings.quota_slack},
          .read_routing = this->options.read_routing,
          .live_control_hosts =
              [this] {
                std::vector<HostId> live = this->follower->LiveHosts();
                live.push_back(this->self);
                return live;
              },
          .has_quorum = [this] { return this->follower->HasQuorum(); },
          .call =
              [this](const HostId& host, const RefillCall& call,
                     TimePoint deadline) {
                return SendRefillCall(*this->follower, host, call, deadline);
              },
          .replace_leader =
              [this](const QuotaLeaderRecord& seen,
                     const QuotaLeaderRecord& next) {
                this->editor->ReplaceQuotaLeader(
                    seen, next, Runtime::Now() + kAgreeTimeout);
              }});
}

void ControlHost::State::MakeMembership() {
  this->membership =
      std::make_unique<ReplicaMembership>(ReplicaMembershipOptions{
          .self = this->replica->id(),
          .first_start = this->options.settings.first_start,
          .catch_up = this->options.settings.catch_up,
          .service = *this->service,
          .hosts =
              [this] {
                std::vector<HostId> hosts = this->follower->KnownHosts();
                hosts.push_back(this->self);
                return hosts;
              },
          .has_version = [this] { return this->agreed.version() > 0; },
          .on_quorum =
              [this](TimePoint asked) { this->follower->HearQuorum(asked); },
          .on_chosen =
              [this](uint64_t version, const std::string& text) {
                this->TakeAgreed(version, text);
              }});
}

void ControlHost::State::MakeDepartures() {
  this->departures = std::make_unique<DepartureReplicator>(
      this->runtime,
      DepartureReplicatorOptions{
          .self = this->replica->id(),
          .members = [this] { return this->NewestMembers(); },
          .save =
              [this](const std::vector<TargetRecord>& departures) {
                return this->departure_store->Save(departures);
              },
          .call =
              [this](const HostId& host, const std::string& call,
                     TimePoint deadline) {
                return this->links.Call(host, PeerMessageType::kDeparture, call,
                                        deadline);
              }});
}

void ControlHost::State::MakeConfirmer() {
  this->confirmer = std::make_unique<QuorumConfirmer>(QuorumConfirmerOptions{
      .service = *this->service,
      .is_wanted =
          [this] {
            return this->options.settings.strict_revocation ||
                   this->quota->NeedsConfirmations();
          },
      .on_chosen =
          [this](uint64_t version, const std::string& text) {
            this->TakeAgreed(version, text);
          },
      .on_confirmed =
          [this](const QuorumConfirmation& confirmation) {
            this->quota->OnConfirmed(confirmation);
          }});
}

HttpResponse ControlHost::State::AnswerCall(const HttpRequest& request,
                                            HttpExchange& exchange) {
  const auto is_abandoned = std::make_shared<bool>(false);
  exchange.on_abandoned = [is_abandoned] { *is_abandoned = true; };
  const Duration age = Runtime::Now() - exchange.received;
  return this->options.on_request(
      request, {.received = BootClock::now() - age,
                .is_abandoned = [is_abandoned] { return *is_abandoned; }});
}

tl::expected<void, std::string> ControlHost::State::Serve() {
  this->peers = std::make_unique<PeerServer>(
      this->runtime,
      PeerServerOptions{
          .endpoint = this->options.settings.peer_address,
          .handler = [this](PeerMessageType type, const std::string& body) {
            return AnswerPeerCall({.replica = *this->replica,
                                   .hub = *this->hub,
                                   .agreed = this->agreed,
                                   .rollouts = *this->rollouts,
                                   .quota = *this->quota,
                                   .confirmer = *this->confirmer,
                                   .on_departures =
                                       [this](const DepartureCall& call) {
                                         return this->TakeDepartures(call);
                                       },
                                   .on_outcomes =
                                       [this](const OutcomeReport& report) {
                                         this->TakeUrgent(report);
                                       }},
                                  type, body);
          }});
  if (const auto port = this->peers->Start(); !port) {
    return tl::unexpected(port.error().detail);
  }
  this->server = std::make_unique<HttpServer>(
      this->runtime,
      HttpServerOptions{
          .endpoint = *this->options.settings.control_address,
          .handler =
              [this](const HttpRequest& request, HttpExchange& exchange) {
                return this->AnswerCall(request, exchange);
              },
          .max_body_bytes = kMaxBodyBytes});
  if (const auto port = this->server->Start(); !port) {
    return tl::unexpected(port.error().detail);
  }
  auto metrics_server =
      StartMetricsServer(this->runtime, this->options.settings,
                         [this] { return this->PrintMetrics(); });
  if (!metrics_server) {
    return tl::unexpected(metrics_server.error());
  }
  this->metrics_server = *std::move(metrics_server);
  return {};
}

void ControlHost::State::BeginWork() {
  this->follower->Start();
  this->quota->Start();
  this->runtime.Spawn(
      [state = this->shared_from_this()] { state->membership->Run(); });
  this->runtime.Spawn(
      [state = this->shared_from_this()] { state->confirmer->Run(); });
  this->runtime.Spawn([state = this->shared_from_this()] {
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
  RepeatEvery(this->runtime, kTick, [state = this->shared_from_this()] {
    if (!state->is_stopped) {
      state->Tick();
    }
    return !state->is_stopped;
  });
}

}  // namespace knapweedroad
