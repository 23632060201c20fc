// The part of LoadBalancer that chooses between the versions of a service.

#include "knapweedroad/routing/load_balancer.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace knapweedroad {

void LoadBalancer::SetVersionSplits(
    std::unordered_map<ServiceId, VersionSplit> next) {
  if (next == this->version_splits) {
    return;
  }
  this->version_splits = std::move(next);
  for (auto& [id, service] : this->services) {
    this->ApplyConfig(id, service);
  }
}

// Keeps the version in use as long as any of its targets is serving or silent,
// even if they fail, so that a version without a roll-out gets no requests.
// All records of one update have the same `now`, so the choice may still change
// within that update: the target that started first determines the version,
// whatever the order of the records.
void LoadBalancer::ChooseVersion(BalancedService& service, TimePoint now) {
  const auto is_present = [](const BalancedTarget* target) {
    return target->record.phase == TargetPhase::kServing ||
           target->record.phase == TargetPhase::kSilent;
  };
  const bool is_kept =
      service.version_chosen_at != now &&
      std::ranges::any_of(service.targets, [&](const BalancedTarget* target) {
        return is_present(target) &&
               target->record.version == service.version_in_use;
      });
  if (is_kept) {
    return;
  }
  const BalancedTarget* earliest = nullptr;
  for (const BalancedTarget* const target : service.targets) {
    const bool is_earlier =
        earliest == nullptr ||
        std::tie(target->record.started_ms, target->record.version) <
            std::tie(earliest->record.started_ms, earliest->record.version);
    if (is_present(target) && is_earlier) {
      earliest = target;
    }
  }
  if (earliest != nullptr) {
    service.version_in_use = earliest->record.version;
    service.version_chosen_at = now;
  }
}

bool LoadBalancer::IsAllowedVersion(const BalancedTarget& target) {
  const BalancedService& service = *target.service;
  return service.split ? service.split->Allows(target.record.version)
                       : target.record.version == service.version_in_use;
}

bool LoadBalancer::ShouldPreferCandidate(const VersionSplit& split,
                                         bool is_first_attempt) {
  if (!split.allows_stable) {
    return true;
  }
  const double drawn = static_cast<double>(this->random()) /
                       static_cast<double>(std::minstd_rand::max());
  return is_first_attempt && drawn < split.candidate_share;
}

// Picks at random, not by cost. The cost rises with failures, so that a failing
// candidate would get too few requests to be evaluated.
BalancedTarget* LoadBalancer::PickCandidate(const BalancedService& service,
                                            TimePoint now) {
  BalancedTarget* chosen = nullptr;
  unsigned eligible_count = 0;
  for (BalancedTarget* const target : service.targets) {
    const bool is_eligible =
        target->record.version == service.split->candidate &&
        !target->is_ejected && !this->IsCold(*target, now) &&
        this->MaySend(*target, now);
    if (is_eligible && this->random() % ++eligible_count == 0) {
      chosen = target;
    }
  }
  return chosen;
}

}  // namespace knapweedroad
