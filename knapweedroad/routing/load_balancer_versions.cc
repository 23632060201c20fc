// Which versions of a service's targets a load balancer uses.

#include "knapweedroad/routing/load_balancer.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace knapweedroad {

void LoadBalancer::SetVersionSplits(
    std::unordered_map<ServiceId, VersionSplit> next) {
  if (next == this->splits) {
    return;
  }
  this->splits = std::move(next);
  for (auto& [id, service] : this->services) {
    this->TakeConfigured(id, service);
  }
}

// A version that nobody has ordered gets nothing while targets of the one in
// use are there, however ill they are. All of a batch of news has one time:
// among the first targets heard of, those that started first decide.
void LoadBalancer::ChooseVersion(BalancedService& service, TimePoint now) {
  const auto is_there = [](const BalancedTarget* target) {
    return target->record.phase == TargetPhase::kServing ||
           target->record.phase == TargetPhase::kSilent;
  };
  const bool is_kept =
      service.version_chosen != now &&
      std::ranges::any_of(service.targets, [&](const BalancedTarget* target) {
        return is_there(target) && target->record.version == service.version;
      });
  if (is_kept) {
    return;
  }
  const BalancedTarget* first = nullptr;
  for (const BalancedTarget* const target : service.targets) {
    const bool is_earlier =
        first == nullptr ||
        std::tie(target->record.started_ms, target->record.version) <
            std::tie(first->record.started_ms, first->record.version);
    if (is_there(target) && is_earlier) {
      first = target;
    }
  }
  if (first != nullptr) {
    service.version = first->record.version;
    service.version_chosen = now;
  }
}

bool LoadBalancer::MayRunVersion(const BalancedTarget& target) {
  const BalancedService& service = *target.service;
  return service.split ? service.split->Allows(target.record.version)
                       : target.record.version == service.version;
}

bool LoadBalancer::PrefersCandidate(const VersionSplit& split, bool is_first) {
  if (!split.allows_stable) {
    return true;
  }
  const double drawn = static_cast<double>(this->random()) /
                       static_cast<double>(std::minstd_rand::max());
  return is_first && drawn < split.candidate_share;
}

// By lot, not by cost: a cost that rises with bad answers would hide them.
BalancedTarget* LoadBalancer::PickCandidate(const BalancedService& service,
                                            TimePoint now) {
  BalancedTarget* drawn = nullptr;
  unsigned seen = 0;
  for (BalancedTarget* const target : service.targets) {
    const bool may = target->record.version == service.split->candidate &&
                     !target->is_ejected && !this->IsCold(*target, now) &&
                     this->MayTry(*target, now);
    if (may && this->random() % ++seen == 0) {
      drawn = target;
    }
  }
  return drawn;
}

}  // namespace knapweedroad
