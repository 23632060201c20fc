#include "knapweedroad/routing/load_balancer.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include <xxhash.h>

#include "knapweedroad/routing/route_table.h"
#include "knapweedroad/routing/target_cost.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// After so many "unhealthy" in a row a request is tried now and then: health
// answers may be false.
constexpr size_t kUnhealthyBeforeTrial = 2;
constexpr Duration kTrialIntervalAHost = milliseconds(250);
constexpr Duration kLeastTrialInterval = milliseconds(500);
// So many hosts at most send to one cold target, each once in the spacing.
constexpr size_t kColdSenders = 3;
constexpr Duration kColdSpacing = milliseconds(1200);
// A target whose heartbeats have stopped is used while it goes on to answer.
constexpr Duration kSilentTrust = std::chrono::seconds(2);
// As long as control hosts remember it.
constexpr Duration kForgetSilentAfter = std::chrono::seconds(60);

// A target of another zone counts as so many times slower than it is: its bytes
// cross between zones, and smoothed latencies of few values differ by chance.
constexpr double kOtherZoneCost = 1.6;
// The same where an answer's parts from one zone cross together, and where
// others do.
constexpr std::array kNearZoneCosts = {1.3, 1.6};
constexpr double kFarZoneCost = 2.1;

// One pick in so many passes over what others say of a target, so that somebody
// finds out that it is well again.
constexpr unsigned kIgnoreOutliersOneIn = 300;

uint64_t HashOf(const HostId& host, const TargetId& target) {
  return XXH64(target.str().data(), target.str().size(),
               XXH64(host.str().data(), host.str().size(), 0));
}

}  // namespace

LoadBalancer::LoadBalancer(LoadBalancerOptions options)
    : options(std::move(options)),
      random(static_cast<std::minstd_rand::result_type>(this->options.seed)) {}

void LoadBalancer::SetRouting(std::shared_ptr<const RouteTable> next) {
  this->routing = std::move(next);
  for (auto& [id, service] : this->services) {
    this->TakeConfigured(id, service);
  }
}

void LoadBalancer::TakeConfigured(const ServiceId& id,
                                  BalancedService& service) const {
  const RoutedService* const configured =
      this->routing == nullptr ? nullptr : this->routing->FindService(id);
  service.max_connections =
      configured == nullptr ? 0 : configured->max_connections;
  service.cold_rate = configured == nullptr ? 0 : configured->cold_rate;
  const auto split = this->splits.find(id);
  service.split =
      split == this->splits.end() ? std::nullopt : std::optional(split->second);
}

BalancedService& LoadBalancer::ServiceOf(const ServiceId& id) {
  const auto [place, is_new] = this->services.try_emplace(id);
  if (is_new) {
    this->TakeConfigured(id, place->second);
  }
  return place->second;
}

void LoadBalancer::SetZonesOut(const std::vector<ZoneId>& zones) {
  this->zones_out = {zones.begin(), zones.end()};
}

BalancedTarget* LoadBalancer::Get(const TargetId& id) {
  const auto found = this->targets.find(id);
  return found == this->targets.end() ? nullptr : &found->second;
}

const BalancedTarget* LoadBalancer::Get(const TargetId& id) const {
  const auto found = this->targets.find(id);
  return found == this->targets.end() ? nullptr : &found->second;
}

const TargetRecord* LoadBalancer::Find(const TargetId& id) const {
  const BalancedTarget* const target = this->Get(id);
  return target == nullptr ? nullptr : &target->record;
}

const TargetRecord* LoadBalancer::FindFree(const TargetId& id,
                                           TimePoint now) const {
  const BalancedTarget* const target = this->Get(id);
  const bool may = target != nullptr && !this->IsCold(*target, now) &&
                   this->MayTry(*target, now);
  return may ? &target->record : nullptr;
}

void LoadBalancer::Drop(const TargetId& id) {
  const auto found = this->targets.find(id);
  if (found == this->targets.end()) {
    return;
  }
  std::erase(found->second.service->targets, &found->second);
  this->targets.erase(found);
}

void LoadBalancer::Learn(const TargetRecord& record, TimePoint now) {
  BalancedTarget* known = this->Get(record.id);
  if (known != nullptr && !Supersedes(record, known->record)) {
    return;
  }
  const bool is_new_life = known == nullptr ||
                           known->record.started_ms != record.started_ms ||
                           known->record.address != record.address ||
                           known->record.service != record.service;
  if (is_new_life) {
    const size_t in_flight = known == nullptr ? 0 : known->in_flight;
    this->Drop(record.id);
    known = &this->targets[record.id];
    known->in_flight = in_flight;
    known->rank = HashOf(this->options.self, record.id);
    known->service = &this->ServiceOf(record.service);
    known->service->targets.push_back(known);
  }
  if (record.phase == TargetPhase::kSilent &&
      known->record.phase != TargetPhase::kSilent) {
    known->silent_since = now;
  }
  known->record = record;
  known->cold_until = now + record.cold_left;
  ChooseVersion(*known->service, now);
}

bool LoadBalancer::IsCold(const BalancedTarget& target, TimePoint now) const {
  return target.cold_until > now;
}

// Caps the number of senders so that the aggregate rate stays under the cold
// limit; every host reckons the same ones.
bool LoadBalancer::MaySendCold(const BalancedTarget& target,
                               TimePoint now) const {
  if (now < target.next_cold_send) {
    return false;
  }
  const double allowed =
      target.service->cold_rate * this->options.cold_burst_factor +
      this->options.cold_slack;
  const auto senders = std::min<size_t>(
      kColdSenders, static_cast<size_t>(std::max(0.0, allowed / 1.5)));
  size_t before = 0;
  for (const HostId& host : this->share.hosts()) {
    if (host != this->options.self &&
        HashOf(host, target.record.id) < target.rank) {
      ++before;
    }
  }
  return before < senders;
}

bool LoadBalancer::IsUsable(const BalancedTarget& target, TimePoint now) const {
  const TargetPhase phase = target.record.phase;
  const bool is_trusted_silent =
      phase == TargetPhase::kSilent && now - target.last_success < kSilentTrust;
  return (phase == TargetPhase::kServing || is_trusted_silent) &&
         !this->zones_out.contains(target.record.zone) && MayRunVersion(target);
}

size_t LoadBalancer::CapOf(const BalancedTarget& target, TimePoint now) const {
  const size_t most = target.service->max_connections;
  return most == 0 ? 1 : this->share.MaxPerTarget(most, now);
}

// With more hosts than a target takes connections, each host keeps to a part of
// the targets, its own zone's first, and every host to another part.
bool LoadBalancer::IsInSubset(const BalancedTarget& target) const {
  const BalancedService& service = *target.service;
  const size_t most = service.max_connections;
  const size_t all = service.targets.size();
  const size_t size = most == 0 ? all : this->share.SubsetSize(all, most);
  if (size >= all) {
    return true;
  }
  const auto key = [this](const BalancedTarget& of) {
    return std::pair(this->IsOutside(of), of.rank);
  };
  size_t before = 0;
  for (const BalancedTarget* const other : service.targets) {
    const bool counts =
        other->record.phase == TargetPhase::kServing && !other->is_ejected;
    if (other != &target && counts && key(*other) < key(target)) {
      ++before;
    }
  }
  return before < size;
}

bool LoadBalancer::MayTry(const BalancedTarget& target, TimePoint now) const {
  if (!this->IsUsable(target, now) ||
      target.in_flight >= target.limit.MaxInFlight(this->CapOf(target, now))) {
    return false;
  }
  if (!target.is_ejected) {
    return true;
  }
  if (target.is_only_silent) {
    return target.in_flight == 0;
  }
  return target.unhealthy_probes >= kUnhealthyBeforeTrial &&
         now >= target.next_trial;
}

void LoadBalancer::ForgetSilent(TimePoint now) {
  std::vector<TargetId> forgotten;
  for (const auto& [id, target] : this->targets) {
    if (target.record.phase == TargetPhase::kSilent && target.in_flight == 0 &&
        now - target.silent_since > kForgetSilentAfter) {
      forgotten.push_back(id);
    }
  }
  for (const TargetId& id : forgotten) {
    BalancedService& service = *this->Get(id)->service;
    this->Drop(id);
    ChooseVersion(service, now);
  }
}

bool LoadBalancer::IsOutside(const BalancedTarget& target) const {
  return target.record.zone != this->options.zone;
}

// After a cut has healed, targets beyond it are asked for their health at once
// instead of at their next regular turn.
void LoadBalancer::OnOutsideAnswer(TimePoint now) {
  if (!this->zone_reachability.OnAnswered(now)) {
    return;
  }
  for (auto& [id, target] : this->targets) {
    if (target.is_ejected && this->IsOutside(target)) {
      target.next_probe = now;
      target.failed_probes = 0;
    }
  }
}

double LoadBalancer::ZoneCost(const BalancedTarget& target,
                              std::span<const ZoneId> near_zones) const {
  if (!this->IsOutside(target)) {
    return 1;
  }
  if (near_zones.empty()) {
    return kOtherZoneCost;
  }
  const auto place = std::ranges::find(near_zones, target.record.zone);
  const auto rank = static_cast<size_t>(place - near_zones.begin());
  return rank < kNearZoneCosts.size() && place != near_zones.end()
             ? kNearZoneCosts[rank]
             : kFarZoneCost;
}

double LoadBalancer::Cost(const BalancedTarget& target,
                          std::span<const ZoneId> near_zones,
                          TimePoint now) {
  const bool is_scarce = now < this->connections_scarce_until;
  const CostContext context{
      .usual_latency_ns = target.service->latency,
      .uses_shared_outcomes = this->random() % kIgnoreOutliersOneIn != 0,
      .zone_factor = this->ZoneCost(target, near_zones),
      .is_outside_subset = !this->IsInSubset(target),
      .needs_scarce_connection = is_scarce && this->options.is_connected &&
                                 !this->options.is_connected(target.record.id)};
  // Ties are broken by lot.
  return CostOf(target, context, now) *
         (1 + 0.02 * static_cast<double>(this->random()) /
                  static_cast<double>(std::minstd_rand::max()));
}

std::optional<TargetId> LoadBalancer::Pick(const ServiceId& service_id,
                                           std::span<const TargetId> tried,
                                           TimePoint now,
                                           std::span<const ZoneId> near_zones) {
  const auto found = this->services.find(service_id);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  bool avoids_candidate = false;
  if (const auto& split = found->second.split; split && split->allows_stable) {
    const bool prefers_candidate =
        this->PrefersCandidate(*split, tried.empty());
    BalancedTarget* const candidate =
        prefers_candidate ? this->PickCandidate(found->second, now) : nullptr;
    if (candidate != nullptr) {
      return candidate->record.id;
    }
    avoids_candidate = split->candidate_share < 1;
  }
  // Warm ones first, then trials of ejected ones; a cold one last.
  enum Rank { kWarm, kTrial, kCold, kNone };
  Rank best_rank = kNone;
  double best_cost = std::numeric_limits<double>::max();
  BalancedTarget* best = nullptr;
  for (BalancedTarget* const candidate : found->second.targets) {
    BalancedTarget& target = *candidate;
    const bool is_avoided =
        avoids_candidate &&
        target.record.version == found->second.split->candidate;
    if (is_avoided || !this->MayTry(target, now) ||
        std::ranges::find(tried, target.record.id) != tried.end()) {
      continue;
    }
    Rank rank = kWarm;
    if (this->IsCold(target, now)) {
      rank = this->MaySendCold(target, now) ? kCold : kNone;
    } else if (target.is_ejected) {
      rank = kTrial;
    }
    if (rank == kNone || rank > best_rank) {
      continue;
    }
    const double cost = this->Cost(target, near_zones, now);
    if (rank < best_rank || cost < best_cost) {
      best_rank = rank;
      best_cost = cost;
      best = &target;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  if (best_rank == kCold) {
    best->next_cold_send = now + kColdSpacing;
  } else if (best_rank == kTrial) {
    const auto hosts = static_cast<int64_t>(this->share.host_count());
    best->next_trial =
        now + std::max(kLeastTrialInterval, kTrialIntervalAHost * hosts);
  }
  return best->record.id;
}

bool LoadBalancer::IsServed(const ServiceId& service,
                            TimePoint now,
                            std::span<const TargetId> tried) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return false;
  }
  return std::ranges::any_of(
      found->second.targets, [&](const BalancedTarget* target) {
        return this->IsWell(*target, now) &&
               std::ranges::find(tried, target->record.id) == tried.end();
      });
}

bool LoadBalancer::IsServedInZone(const ServiceId& service,
                                  TimePoint now) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return false;
  }
  return std::ranges::any_of(
      found->second.targets, [&](const BalancedTarget* target) {
        return !this->IsOutside(*target) && this->IsWell(*target, now);
      });
}

bool LoadBalancer::IsWell(const BalancedTarget& target, TimePoint now) const {
  return this->IsUsable(target, now) && !target.is_ejected &&
         !this->IsCold(target, now);
}

ServiceCount LoadBalancer::Count(const ServiceId& service,
                                 TimePoint now) const {
  ServiceCount count;
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return count;
  }
  for (const BalancedTarget* const counted : found->second.targets) {
    const BalancedTarget& target = *counted;
    const TargetPhase phase = target.record.phase;
    if (phase == TargetPhase::kLeaving || phase == TargetPhase::kGone) {
      ++count.leaving;
    } else if (this->zones_out.contains(target.record.zone)) {
      ++count.out;
    } else if (!this->IsUsable(target, now)) {
      ++count.silent;
    } else if (target.is_ejected) {
      ++count.ejected;
    } else if (this->IsCold(target, now)) {
      ++count.cold;
    } else {
      ++count.usable;
    }
  }
  return count;
}

}  // namespace knapweedroad
