// The part of LoadBalancer that chooses a target for an attempt.

#include <algorithm>
#include <cstddef>
#include <limits>
#include <utility>

#include "knapweedroad/routing/load_balancer.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// The time between trial requests to an ejected target.
constexpr Duration kTrialIntervalPerHost = milliseconds(250);
constexpr Duration kMinTrialInterval = milliseconds(500);
// The time between requests of one host to a cold target.
constexpr Duration kColdSendInterval = milliseconds(1200);
// The number of warm targets whose costs are always compared.
constexpr size_t kMinWarmCandidates = 6;

}  // namespace

LoadBalancer::SubsetKey LoadBalancer::SubsetKeyOf(
    const BalancedTarget& target) const {
  return {this->IsInOtherZone(target), target.subset_rank};
}

// If there are more hosts than a target accepts connections, each host uses a
// subset of the targets. It prefers targets of its own zone, and the hash gives
// each host a different order.
std::optional<LoadBalancer::SubsetKey> LoadBalancer::SubsetEnd(
    const BalancedService& service) {
  const size_t target_count = service.targets.size();
  const size_t size = service.max_connections == 0
                          ? target_count
                          : this->connection_share.SubsetSize(
                                target_count, service.max_connections);
  if (size >= target_count) {
    return std::nullopt;
  }
  std::vector<SubsetKey>& in_use = this->subset_keys;
  in_use.clear();
  for (const BalancedTarget* const target : service.targets) {
    if (target->record.phase == TargetPhase::kServing && !target->is_ejected) {
      in_use.push_back(this->SubsetKeyOf(*target));
    }
  }
  if (in_use.size() < size) {
    return std::nullopt;
  }
  const auto last = in_use.begin() + static_cast<std::ptrdiff_t>(size - 1);
  std::ranges::nth_element(in_use, last);
  return *last;
}

std::optional<TargetId> LoadBalancer::Pick(const ServiceId& service_id,
                                           std::span<const TargetId> tried,
                                           TimePoint now,
                                           const PickPreferences& preferences) {
  const auto found = this->services.find(service_id);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  bool avoids_candidate = false;
  if (const auto& split = found->second.split; split && split->allows_stable) {
    const bool prefers_candidate =
        this->ShouldPreferCandidate(*split, tried.empty());
    BalancedTarget* const candidate =
        prefers_candidate ? this->PickCandidate(found->second, now) : nullptr;
    if (candidate != nullptr) {
      return candidate->record.id;
    }
    avoids_candidate = split->candidate_share < 1;
  }
  const PickContext pick =
      this->MakePickContext(found->second, tried, preferences, now);
  BalancedTarget* const best =
      this->FindCheapest(found->second, avoids_candidate, pick);
  if (best == nullptr) {
    return std::nullopt;
  }
  if (this->IsCold(*best, now)) {
    best->next_cold_send = now + kColdSendInterval;
  } else if (best->is_ejected) {
    const auto hosts =
        static_cast<int64_t>(this->connection_share.host_count());
    best->next_trial =
        now + std::max(kMinTrialInterval, kTrialIntervalPerHost * hosts);
  }
  return best->record.id;
}

// Begins at a random target, and estimates the cost of as many as the choice
// needs: with a good one among several, further ones would be little better,
// and a scatter chooses a target for each of its shards.
BalancedTarget* LoadBalancer::FindCheapest(const BalancedService& service,
                                           bool avoids_candidate,
                                           const PickContext& pick) {
  // Prefers warm targets, then trials of ejected targets, then cold targets.
  enum Rank { kWarm, kTrial, kCold, kNone };
  Rank best_rank = kNone;
  double best_cost = std::numeric_limits<double>::max();
  BalancedTarget* best = nullptr;
  size_t warm_count = 0;
  const size_t count = service.targets.size();
  const size_t offset = count == 0 ? 0 : this->random() % count;
  for (size_t i = 0; i < count; ++i) {
    BalancedTarget& target = *service.targets[(offset + i) % count];
    const double zone_factor = this->ZoneFactor(target, pick.preferred_zones);
    const bool is_unlikely_better =
        warm_count >= kMinWarmCandidates &&
        best_cost <= service.latency_ns * zone_factor;
    const bool is_avoided =
        avoids_candidate && target.record.version == service.split->candidate;
    if (is_unlikely_better || is_avoided || !this->MaySend(target, pick.now) ||
        std::ranges::find(pick.tried, target.record.id) != pick.tried.end()) {
      continue;
    }
    Rank rank = target.is_ejected ? kTrial : kWarm;
    if (this->IsCold(target, pick.now)) {
      const bool is_candidate =
          best_rank >= kCold && this->MaySendWhileCold(target, pick.now);
      rank = is_candidate ? kCold : kNone;
    }
    if (rank == kNone || rank > best_rank) {
      continue;
    }
    warm_count += rank == kWarm ? 1 : 0;
    const double cost = this->EstimateCost(target, zone_factor, pick);
    if (rank < best_rank || cost < best_cost) {
      best_rank = rank;
      best_cost = cost;
      best = &target;
    }
  }
  return best;
}

}  // namespace knapweedroad
