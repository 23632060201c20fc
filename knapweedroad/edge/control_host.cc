#include "knapweedroad/edge/control_host.h"

#include <algorithm>
#include <sstream>
#include <utility>
#include <vector>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/call_origin.h"
#include "knapweedroad/edge/control_host_id.h"
#include "knapweedroad/edge/control_host_state.h"
#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/host/quorum_report.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/registry/announcement_redirect.h"
#include "knapweedroad/registry/control_hosts_view.h"
#include "knapweedroad/registry/outlier_detector.h"
#include "knapweedroad/registry/target_record_check.h"
#include "knapweedroad/rollout/rollout_orders.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// Ticks between judgements of targets. Each change wakes all followers, so this
// also bounds their calls.
constexpr int kOutlierTicks = 3;
// Announcements missed before a target counts as silent.
constexpr int kMissedHeartbeats = 3;
// At a stop, how long leaving the members may take, and how long calls that are
// running may: no call waits longer for a quorum.
constexpr Duration kLeaveTimeout = milliseconds(1000);
constexpr Duration kStopWait = milliseconds(3000);
// Kept of the grace at a stop for ending in order.
constexpr Duration kStopMargin = milliseconds(500);

// The time since the newest confirmation began, or -1 if there was none.
int64_t ConfirmationAgeMs(const QuorumConfirmer& confirmer) {
  const auto& newest = confirmer.newest();
  return newest ? std::chrono::floor<milliseconds>(BootClock::now() -
                                                   newest->began)
                      .count()
                : -1;
}

}  // namespace

ControlHost::State::State(Runtime& runtime, ControlHostOptions given)
    : runtime(runtime),
      options(std::move(given)),
      self(ControlHostId(this->options.settings.peer_address)),
      seeds(SeedIds(this->options.settings)),
      links(runtime),
      connectivity(this->options.settings.zone),
      registry({.self = this->self,
                .silent_after = this->options.settings.heartbeat_interval *
                                kMissedHeartbeats}),
      outlier_lines({.event = "outliers_changed",
                     .interval = kOutlierLineInterval,
                     .describe = [this](LogLine& line) {
                       const OutlierDetector& detector =
                           this->outcomes.detector();
                       line.Add("count", detector.outliers().size())
                           .Add("revision", detector.revision())
                           .Add("worst", DescribeOutliers(detector.outliers()));
                     }}) {}

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
    this->quota->OnAgreed(version, this->agreed.state());
    this->hub->Wake();
  }
}

void ControlHost::State::OnNews(const HostId& from, const WatchReply& reply) {
  if (reply.zone != this->options.settings.zone) {
    if (reply.has_outliers) {
      this->outcomes.detector().SetRemoteOutliers(from, reply.outliers.upserted,
                                                  Runtime::Now());
    } else {
      this->outcomes.detector().RefreshRemoteOutliers(from, Runtime::Now());
    }
  }
  const uint64_t before = this->registry.revision();
  for (const TargetRecord& record : reply.targets) {
    if (IsUsableRecord(record, from.str())) {
      this->registry.Merge(record, Runtime::Now());
    }
  }
  if (reply.has_hosts) {
    this->hub->LearnEntryHosts(from, reply.entry_hosts.upserted);
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
  const bool is_changed = this->outcomes.Evaluate(
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
  this->hub->Wake();
  this->outlier_lines.OnEvent(Runtime::Now());
}

void ControlHost::State::Tick() {
  const TimePoint now = Runtime::Now();
  this->standstill.OnTick(BootClock::now());
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
  this->quota->Tick();
  if (this->connectivity.Update(live, this->follower->View())) {
    this->hub->Wake();
  }
  if (++this->ticks % kOutlierTicks == 0) {
    this->JudgeTargets();
  }
  this->outlier_lines.Tick(now);
  if (this->options.on_tick) {
    this->options.on_tick();
  }
}

std::string ControlHost::State::PrintMetrics() const {
  std::ostringstream out;
  const auto add = [&](const char* name, const char* type, auto value) {
    out << "# TYPE knapweedroad_control_" << name << " " << type
        << "\nknapweedroad_control_" << name << " " << value << "\n";
  };
  add("announcements_total", "counter", this->announcements);
  add("changes_accepted_total", "counter", this->editor->accepted());
  add("changes_unknown_total", "counter", this->editor->unknown());
  add("reads_failed_total", "counter", this->editor->failed_reads());
  add("departures_total", "counter", this->departures->departures());
  add("departure_rounds_total", "counter", this->departures->rounds());
  add("departures_not_held_total", "counter", this->departures_not_held);
  const RecordStoreStats stored = this->departure_store->stats();
  add("departure_syncs", "gauge", stored.syncs);
  add("departure_bytes", "gauge", stored.bytes_written);
  add("targets", "gauge", this->registry.size());
  add("entry_hosts", "gauge", this->hub->EntryHosts().size());
  add("agreed_version", "gauge", this->agreed.version());
  add("control_hosts", "gauge", this->ControlHosts().size());
  add("quorum_age_ms", "gauge", QuorumAgeMs(this->follower->View()));
  const ControlPeek& look = this->membership->last_look();
  const Membership members =
      look.newest ? look.newest->value.members : Membership();
  add("members", "gauge", members.Everyone().size());
  add("members_answering", "gauge", CountAnsweringMembers(look));
  add("membership_phase", "gauge", static_cast<int>(members.phase));
  add("has_quorum", "gauge", look.has_quorum ? 1 : 0);
  if (this->options.settings.strict_revocation) {
    add("confirmation_age_ms", "gauge", ConfirmationAgeMs(*this->confirmer));
  }
  add("rollouts_owned", "gauge", this->rollouts->owned());
  add("disk_failed", "gauge", this->replica->broken() ? 1 : 0);
  out << this->quota->PrintMetrics();
  return std::move(out).str();
}

ControlHost::ControlHost(Runtime& runtime, ControlHostOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

ControlHost::~ControlHost() {
  State& self = *this->state;
  self.is_stopped = true;
  if (self.membership != nullptr) {
    self.membership->Stop();
  }
  if (self.confirmer != nullptr) {
    self.confirmer->Stop();
  }
  if (self.hub != nullptr) {
    self.hub->Stop();
  }
  if (self.quota != nullptr) {
    self.quota->Stop();
  }
  if (self.departures != nullptr) {
    self.departures->Stop();
  }
  // Calls that are running still note in it what they hear.
  if (self.follower != nullptr) {
    self.follower->Stop();
  }
  self.peers.reset();
  self.server.reset();
  self.metrics_server.reset();
  self.runtime.KeepUntilEnd(std::move(this->state));
}

tl::expected<void, std::string> ControlHost::Start() {
  State& self = *this->state;
  if (auto opened = self.OpenReplica(); !opened) {
    return opened;
  }
  self.MakeFollower();
  self.MakeHub();
  self.ReadDirectory();
  self.MakeAgreement();
  self.rollouts = self.MakeRolloutOwner();
  self.quota = self.MakeQuotaService();
  self.MakeMembership();
  self.MakeDepartures();
  self.MakeConfirmer();
  if (auto served = self.Serve(); !served) {
    return served;
  }
  self.BeginWork();
  return {};
}

void ControlHost::Reload(const RoleSettings& settings) {
  this->state->seeds = SeedIds(settings);
  LogReload(settings);
}

void ControlHost::Shutdown() {
  State& self = *this->state;
  const TimePoint started = Runtime::Now();
  const TimePoint give_up =
      started + self.options.settings.stop_grace - kStopMargin;
  LogLine("leaving").Add("host", self.options.settings.name).Info();
  self.membership->Leave(std::min(started + kLeaveTimeout, give_up));
  self.server->Stop(std::min(Runtime::Now() + kStopWait, give_up));
}

std::optional<Endpoint> ControlHost::NearerHost(const ZoneId& zone,
                                                const TargetId& target) const {
  const State& self = *this->state;
  const std::vector<ControlHostRecord> live = self.follower->LiveRecords();
  const auto host =
      FindControlHostInZone(live, {.contacted_zone = self.options.settings.zone,
                                   .zone = zone,
                                   .target = target});
  if (!host) {
    return std::nullopt;
  }
  // Control hosts serve targets at the same port.
  return Endpoint{.ip = EndpointOf(*host).ip,
                  .port = self.options.settings.control_address->port};
}

bool ControlHost::PutRouting(uint64_t number,
                             std::string text,
                             TimePoint deadline) {
  if (number <= this->state->agreed.number()) {
    return true;
  }
  return this->state->editor->PutRouting(number, std::move(text), deadline);
}

OrderResult ControlHost::State::RunOrder(const std::string& name,
                                         const CallOrigin& origin,
                                         const OrderGuard::Change& change) {
  const OrderResult result = this->orders->Run(origin, change);
  if (result != OrderResult::kDone) {
    LogLine("order_not_done")
        .Add("order", name)
        .Add("result", ToString(result))
        .Add("age_ms", (BootClock::now() - origin.received) / milliseconds(1))
        .Info();
  }
  return result;
}

OrderResult ControlHost::SetZoneOut(const ZoneId& zone,
                                    bool is_out,
                                    const CallOrigin& origin,
                                    TimePoint deadline) {
  State& self = *this->state;
  return self.RunOrder("zone " + zone.str() + (is_out ? " out" : " in"), origin,
                       [&](uint64_t base) {
                         return self.editor->SetZoneOut(zone, is_out, base,
                                                        deadline);
                       });
}

OrderResult ControlHost::OrderRollout(const ServiceId& service,
                                      const VersionId& version,
                                      Duration duration,
                                      const CallOrigin& origin,
                                      TimePoint deadline) {
  State& self = *this->state;
  const RolloutRequest request{
      .service = service,
      .candidate = version,
      .serving_version = self.registry.VersionInUse(service, version),
      .duration = duration,
      .owner = self.self,
      .now_ms = UnixMs(),
      .resend_window = self.options.settings.order_resend_window};
  LogLine("rollout_ordered")
      .Add("service", service)
      .Add("candidate", version)
      .Add("stable", request.serving_version)
      .Add("duration_ms", duration / milliseconds(1))
      .Info();
  const std::string name =
      "roll-out of " + service.str() + " to " + version.str();
  return self.RunOrder(name, origin, [&](uint64_t base) {
    return self.editor->OrderRollouts(
        name,
        [request](std::vector<RolloutRecord>& rollouts) {
          ApplyOrder(rollouts, request);
        },
        base, deadline);
  });
}

bool ControlHost::HasTargets(const ServiceId& service) const {
  return this->state->registry.HasTargets(service);
}

std::optional<AgreedState> ControlHost::ReadAgreed(TimePoint deadline) {
  return this->state->editor->Read(deadline);
}

}  // namespace knapweedroad
