#include "knapweedroad/routing/load_balancer.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// After this many unhealthy probe answers in a row, an ejected target gets an
// occasional trial request, as its health answers may be wrong.
constexpr size_t kUnhealthyProbesBeforeTrial = 2;
// At most this many hosts send requests to one cold target.
constexpr size_t kMaxColdSenders = 3;
// A target without heartbeats stays usable for this time after its last answer.
constexpr Duration kSilentGracePeriod = std::chrono::seconds(2);
// Control hosts remove a target without heartbeats after the same time.
constexpr Duration kRemoveSilentAfter = std::chrono::seconds(60);

uint64_t RankHash(const HostId& host, const TargetId& target) {
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
    this->ApplyConfig(id, service);
  }
}

void LoadBalancer::ApplyConfig(const ServiceId& id,
                               BalancedService& service) const {
  const RoutedService* const configured =
      this->routing == nullptr ? nullptr : this->routing->FindService(id);
  service.max_connections =
      configured == nullptr ? 0 : configured->max_connections;
  service.cold_rate = configured == nullptr ? 0 : configured->cold_rate;
  for (BalancedTarget* const target : service.targets) {
    target->cold_sender_revision = 0;
  }
  const auto split = this->version_splits.find(id);
  service.split = split == this->version_splits.end()
                      ? std::nullopt
                      : std::optional(split->second);
}

BalancedService& LoadBalancer::GetOrAddService(const ServiceId& id) {
  const auto [entry, is_new] = this->services.try_emplace(id);
  if (is_new) {
    this->ApplyConfig(id, entry->second);
  }
  return entry->second;
}

void LoadBalancer::SetZonesOutOfService(const std::vector<ZoneId>& zones) {
  this->zones_out_of_service = {zones.begin(), zones.end()};
}

BalancedTarget* LoadBalancer::Lookup(const TargetId& id) {
  const auto found = this->targets.find(id);
  return found == this->targets.end() ? nullptr : &found->second;
}

const BalancedTarget* LoadBalancer::Lookup(const TargetId& id) const {
  const auto found = this->targets.find(id);
  return found == this->targets.end() ? nullptr : &found->second;
}

const TargetRecord* LoadBalancer::Find(const TargetId& id) const {
  const BalancedTarget* const target = this->Lookup(id);
  return target == nullptr ? nullptr : &target->record;
}

const TargetRecord* LoadBalancer::FindAvailable(const TargetId& id,
                                                TimePoint now) const {
  const BalancedTarget* const target = this->Lookup(id);
  const bool is_available = target != nullptr && !this->IsCold(*target, now) &&
                            this->MaySend(*target, now);
  return is_available ? &target->record : nullptr;
}

void LoadBalancer::RemoveTarget(const TargetId& id) {
  const auto found = this->targets.find(id);
  if (found == this->targets.end()) {
    return;
  }
  BalancedTarget* const target = &found->second;
  std::erase(target->service->targets, target);
  this->active_targets.erase(target);
  this->silent_targets.erase(target);
  this->targets.erase(found);
}

void LoadBalancer::UpdateTarget(const TargetRecord& record, TimePoint now) {
  BalancedTarget* current = this->Lookup(record.id);
  if (current != nullptr && !Supersedes(record, current->record)) {
    return;
  }
  const bool is_new_instance =
      current == nullptr || current->record.started_ms != record.started_ms ||
      current->record.address != record.address ||
      current->record.service != record.service;
  if (is_new_instance) {
    const size_t in_flight = current == nullptr ? 0 : current->in_flight;
    this->RemoveTarget(record.id);
    current = &this->targets[record.id];
    current->in_flight = in_flight;
    current->subset_rank = RankHash(this->options.self, record.id);
    current->service = &this->GetOrAddService(record.service);
    current->service->targets.push_back(current);
  }
  if (record.phase != TargetPhase::kSilent) {
    this->silent_targets.erase(current);
  } else if (this->silent_targets.insert(current).second) {
    current->silent_since = now;
  }
  current->record = record;
  current->cold_until = now + record.cold_left;
  ChooseVersion(*current->service, now);
}

bool LoadBalancer::IsCold(const BalancedTarget& target, TimePoint now) const {
  return target.cold_until > now;
}

// Limits the number of sending hosts so that the total rate stays below the
// limit for cold targets. Every host computes the same set of senders.
bool LoadBalancer::IsColdSender(BalancedTarget& target) const {
  const uint64_t revision = this->connection_share.revision();
  if (target.cold_sender_revision == revision) {
    return target.is_cold_sender;
  }
  const double max_rate =
      target.service->cold_rate * this->options.cold_burst_factor +
      this->options.cold_slack;
  const auto max_senders = std::min<size_t>(
      kMaxColdSenders, static_cast<size_t>(std::max(0.0, max_rate / 1.5)));
  size_t lower_ranked = 0;
  for (const HostId& host : this->connection_share.hosts()) {
    if (host != this->options.self &&
        RankHash(host, target.record.id) < target.subset_rank) {
      ++lower_ranked;
    }
  }
  target.is_cold_sender = lower_ranked < max_senders;
  target.cold_sender_revision = revision;
  return target.is_cold_sender;
}

bool LoadBalancer::MaySendWhileCold(BalancedTarget& target,
                                    TimePoint now) const {
  return now >= target.next_cold_send && this->IsColdSender(target);
}

bool LoadBalancer::IsUsable(const BalancedTarget& target, TimePoint now) const {
  const TargetPhase phase = target.record.phase;
  const bool is_in_grace_period =
      phase == TargetPhase::kSilent &&
      now - target.last_success < kSilentGracePeriod;
  return (phase == TargetPhase::kServing || is_in_grace_period) &&
         !this->zones_out_of_service.contains(target.record.zone) &&
         IsAllowedVersion(target);
}

size_t LoadBalancer::ConnectionCap(const BalancedTarget& target,
                                   TimePoint now) const {
  const size_t max_connections = target.service->max_connections;
  return max_connections == 0
             ? 1
             : this->connection_share.MaxPerTarget(max_connections, now);
}

bool LoadBalancer::MaySend(const BalancedTarget& target, TimePoint now) const {
  if (!this->IsUsable(target, now) ||
      target.in_flight >=
          target.limit.MaxInFlight(this->ConnectionCap(target, now))) {
    return false;
  }
  if (!target.is_ejected) {
    return true;
  }
  if (target.is_ejected_as_unresponsive) {
    return target.in_flight == 0;
  }
  return target.unhealthy_probes >= kUnhealthyProbesBeforeTrial &&
         now >= target.next_trial;
}

void LoadBalancer::RemoveSilentTargets(TimePoint now) {
  std::vector<TargetId> expired;
  for (const BalancedTarget* const target : this->silent_targets) {
    if (target->in_flight == 0 &&
        now - target->silent_since > kRemoveSilentAfter) {
      expired.push_back(target->record.id);
    }
  }
  for (const TargetId& id : expired) {
    BalancedService& service = *this->Lookup(id)->service;
    this->RemoveTarget(id);
    ChooseVersion(service, now);
  }
}

bool LoadBalancer::IsInOtherZone(const BalancedTarget& target) const {
  return target.record.zone != this->options.zone;
}

// When the other zones become reachable again, probes their ejected targets
// without waiting for the next scheduled probe.
void LoadBalancer::OnOtherZoneAnswered(TimePoint now) {
  if (!this->zone_reachability.OnAnswered(now)) {
    return;
  }
  for (BalancedTarget* const target : this->active_targets) {
    if (target->is_ejected && this->IsInOtherZone(*target)) {
      target->next_probe = now;
      target->failed_probes = 0;
    }
  }
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
        return this->IsReady(*target, now) &&
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
        return !this->IsInOtherZone(*target) && this->IsReady(*target, now);
      });
}

std::vector<const TargetRecord*> LoadBalancer::ReadyTargetsInZone(
    const ServiceId& service,
    const ZoneId& zone,
    TimePoint now) const {
  std::vector<const TargetRecord*> ready;
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return ready;
  }
  for (const BalancedTarget* const target : found->second.targets) {
    if (target->record.zone == zone && this->IsReady(*target, now)) {
      ready.push_back(&target->record);
    }
  }
  return ready;
}

size_t LoadBalancer::SubsetSize(const ServiceId& service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end() || found->second.targets.empty()) {
    return 0;
  }
  const size_t target_count = found->second.targets.size();
  const size_t max_connections = found->second.max_connections;
  return max_connections == 0
             ? target_count
             : this->connection_share.SubsetSize(target_count, max_connections);
}

bool LoadBalancer::IsReady(const BalancedTarget& target, TimePoint now) const {
  return this->IsUsable(target, now) && !target.is_ejected &&
         !this->IsCold(target, now);
}

TargetCounts LoadBalancer::CountTargets(const ServiceId& service,
                                        TimePoint now) const {
  TargetCounts counts;
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return counts;
  }
  for (const BalancedTarget* const counted : found->second.targets) {
    const BalancedTarget& target = *counted;
    const TargetPhase phase = target.record.phase;
    if (phase == TargetPhase::kLeaving || phase == TargetPhase::kGone) {
      ++counts.leaving;
    } else if (this->zones_out_of_service.contains(target.record.zone)) {
      ++counts.out_of_service;
    } else if (!this->IsUsable(target, now)) {
      ++counts.silent;
    } else if (target.is_ejected) {
      ++counts.ejected;
    } else if (this->IsCold(target, now)) {
      ++counts.cold;
    } else {
      ++counts.usable;
    }
  }
  return counts;
}

}  // namespace knapweedroad
