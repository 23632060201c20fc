#include "knapweedroad/edge/entry_host.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/entry_host_state.h"
#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/edge/target_news.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/route_table.h"

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

}  // namespace

CallerLimits EntryHost::State::Limits() const {
  return this->parts.table == nullptr ? CallerLimits()
                                      : this->parts.table->config().limits;
}

bool EntryHost::State::IsReady() const {
  return !this->is_leaving && this->parts.table != nullptr &&
         !this->is_sending_away && this->IsFreshEnoughForCallers();
}

bool EntryHost::State::IsConfigurationFresh() const {
  return !this->options.settings.strict_revocation ||
         this->freshness.IsProven(BootClock::now());
}

bool EntryHost::State::NeedsProof() const {
  return this->options.settings.strict_revocation &&
         this->parts.table != nullptr &&
         this->parts.table->accounts() != nullptr;
}

bool EntryHost::State::IsFreshEnoughForCallers() const {
  return !this->NeedsProof() ||
         this->freshness.ShouldTakeCallers(BootClock::now());
}

int64_t EntryHost::State::ProofAgeMs() const {
  const auto age = this->freshness.Age(BootClock::now());
  return age ? std::chrono::floor<milliseconds>(*age).count() : -1;
}

void EntryHost::State::WatchFreshness() {
  if (!this->options.settings.strict_revocation) {
    return;
  }
  const BootTime now = BootClock::now();
  // After the start there is no proof for a moment, which is no fault.
  const bool has_just_started =
      now - this->started_at < this->options.settings.revocation_bound / 2;
  const bool is_old =
      !this->freshness.ShouldTakeCallers(now) &&
      !(has_just_started && !this->freshness.Age(now).has_value());
  if (std::exchange(this->is_proof_old, is_old) == is_old) {
    return;
  }
  LogLine line(is_old ? "freshness_proof_old" : "freshness_proof_fresh");
  line.Add("age_ms", this->ProofAgeMs())
      .Add("applied_version", this->routing.applied_version())
      .Add("agreed_version", this->routing.agreed_version())
      .Add("ready", this->IsReady());
  if (is_old) {
    line.Warning();
  } else {
    line.Info();
  }
}

void EntryHost::State::OnAgreed(uint64_t version, const std::string& text) {
  this->routing.OnAgreed(version, text, Runtime::Now());
  this->freshness.OnVersionApplied(this->routing.applied_version());
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
  if (this->options.settings.strict_revocation) {
    this->metrics.SetGauge(
        "applied_version",
        static_cast<double>(this->routing.applied_version()));
    this->metrics.SetGauge(
        "configuration_in_force",
        this->parts.table == nullptr
            ? 0
            : static_cast<double>(this->parts.table->version()));
    this->metrics.SetGauge("freshness_proof_age_ms",
                           static_cast<double>(this->ProofAgeMs()));
  }
  if (this->follower != nullptr) {
    this->metrics.SetGauge("control_hosts_followed",
                           static_cast<double>(this->follower->followed()));
  }
  if (this->quota != nullptr) {
    this->SetQuotaMetrics();
  }
  this->metrics.SetGauge(
      "waiting_attempts",
      static_cast<double>(this->parts.waiting.waiting_count()));
  this->metrics.SetGauge(
      "hopeless_attempts",
      static_cast<double>(this->parts.waiting.refused_count()));
  this->metrics.SetGauge("suspect_requests",
                         static_cast<double>(this->detector.suspect_count()));
  this->metrics.SetGauge("condemned_requests",
                         static_cast<double>(this->detector.condemned_count()));
  this->metrics.SetGauge("loss_reports_sent",
                         static_cast<double>(this->loss_sharing.sent()));
  this->metrics.SetGauge("loss_reports_received",
                         static_cast<double>(this->loss_sharing.received()));
  this->metrics.SetGauge("loss_reports_dropped",
                         static_cast<double>(this->loss_sharing.dropped()));
  this->metrics.SetGauge(
      "entry_hosts", static_cast<double>(this->balancer.entry_host_count()));
  return this->metrics.Print();
}

void EntryHost::State::SetQuotaMetrics() {
  const QuotaClientCounts& counts = this->quota->counts();
  const auto set = [this](std::string_view name, auto value) {
    this->metrics.SetGauge(name, static_cast<double>(value));
  };
  const uint64_t decisions =
      counts.admitted + counts.over_quota + counts.unknown;
  set("quota_permits_admitted", counts.admitted);
  set("quota_permits_over_quota", counts.over_quota);
  set("quota_permits_unknown", counts.unknown);
  set("quota_permits_discarded", counts.discarded);
  set("quota_permits_returned", counts.returned);
  set("quota_calls", counts.calls);
  set("quota_calls_retried", counts.retries);
  set("quota_decision_ms_count", decisions);
  set("quota_decision_ms_sum",
      std::chrono::duration<double, std::milli>(counts.decision_time).count());
}

void EntryHost::State::OnNews(const HostId& from, const WatchReply& reply) {
  const TimePoint now = Runtime::Now();
  if (reply.zone != this->options.settings.zone) {
    this->balancer.OnOtherZoneAnswered(now);
  } else {
    this->balancer.reachability().OnControlReport(reply.is_cut_off, now);
  }
  LearnTargets(this->balancer, from, reply, this->target_lines, now);
  if (this->entry_hosts.Update(from,
                               reply.has_hosts
                                   ? std::optional(reply.entry_hosts.upserted)
                                   : std::nullopt,
                               now)) {
    this->UseEntryHosts(now);
  }
  this->balancer.UpdateOutliers(from,
                                reply.has_outliers
                                    ? std::optional(reply.outliers.upserted)
                                    : std::nullopt,
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
  this->parts.coordinators.SetHosts(records);
}

void EntryHost::State::PutInForce(
    const std::shared_ptr<const RouteTable>& table) {
  this->parts.table = table;
  this->balancer.SetRouting(table);
  this->parts.waiting.SetEnabled(table->accounts() != nullptr ||
                                 table->has_several_priorities());
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
            route.services, [&](const WeightedService& part) {
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
      reachability.ShouldDivert(this->ZoneServesAll(now), now);
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
  this->WatchFreshness();
  this->balancer.ExpireOutliers(now);
  if (this->entry_hosts.ExpireLists(now)) {
    this->UseEntryHosts(now);
  }
  this->balancer.RemoveSilentTargets(now);
  this->rollouts->ApplySplits();
  if (!stood_still) {
    this->balancer.EjectUnresponsive(now);
    this->prober->Probe(now);
  }
  this->warmer.Tick(now);
  if (++this->ticks % kSweepTicks == 0) {
    this->callers->Sweep(now);
    this->gather_relay.Sweep(now);
    this->detector.Expire(now);
    this->loss_sharing.Sweep(now);
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
  self.quota.reset();
  if (self.freshness_client != nullptr) {
    self.freshness_client->Stop();
  }
  self.follower.reset();
  self.callers.reset();
  self.peers.reset();
  self.ready_server.reset();
  self.metrics_server.reset();
  self.runtime.KeepUntilEnd(std::move(this->state));
}

tl::expected<void, std::string> EntryHost::Start() {
  State& self = *this->state;
  if (!self.options.settings.caller_address) {
    return tl::unexpected(
        std::string("the settings give no caller_address: an entry host needs "
                    "one"));
  }
  if (auto served = self.ServeCallers(); !served) {
    return served;
  }
  if (auto served = self.ServeReadiness(); !served) {
    return served;
  }
  if (auto served = self.ServePeers(); !served) {
    return served;
  }
  if (auto served = self.ServeMetrics(); !served) {
    return served;
  }
  self.FollowControl();
  self.MakeQuotaClient();
  self.ProveFreshness();
  self.BeginTicks();
  return {};
}

void EntryHost::Reload(const RoleSettings& settings) {
  this->state->seeds = SeedIds(settings);
  LogReload(settings);
}

bool EntryHost::State::HasWork() const {
  return this->callers->connections() > 0 || this->gather_relay.running() > 0 ||
         this->gather_relay.holds_records();
}

void EntryHost::State::AwaitNoWork(TimePoint until, bool closes_idle) {
  while (Runtime::Now() < until) {
    if (closes_idle) {
      this->callers->CloseIdle();
    }
    if (!this->HasWork()) {
      return;
    }
    Runtime::SleepFor(std::min<Duration>(kTick, until - Runtime::Now()));
  }
}

void EntryHost::Shutdown() {
  State& self = *this->state;
  const TimePoint now = Runtime::Now();
  const LeavingSchedule schedule(
      {.told_at = now, .grace = self.options.settings.stop_grace});
  self.is_leaving = true;
  self.parts.leaving = schedule;
  self.callers->StartDraining();
  self.gather_relay.StartDraining();
  LogLine("leaving")
      .Add("host", self.options.settings.name)
      .Add("running", self.callers->running())
      .Add("connections", self.callers->connections())
      .Info();
  const TimePoint noticed_by =
      std::min(now + kBalancerNotice, schedule.answer_by());
  Runtime::SleepFor(noticed_by - now);
  self.AwaitNoWork(schedule.answer_by(), /*closes_idle=*/true);
  LogLine("left")
      .Add("host", self.options.settings.name)
      .Add("running", self.callers->running())
      .Info();
  self.callers->StopRunning();
  self.gather_relay.StopRunning();
  // Callers close first: a close would reset answers that are on their way.
  self.AwaitNoWork(schedule.end_by(), /*closes_idle=*/false);
}

}  // namespace knapweedroad
