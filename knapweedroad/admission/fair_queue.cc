#include "knapweedroad/admission/fair_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace knapweedroad {
namespace {

// The virtual time by which one attempt advances a flow of weight 1.
constexpr uint64_t kVirtualTimeUnit = uint64_t{1} << 24;

uint64_t VirtualTimeCost(uint32_t weight) {
  return kVirtualTimeUnit / weight;
}

template <typename Flows, typename IsBacklogged>
auto LeastVirtualTime(Flows& flows, IsBacklogged is_backlogged) {
  auto best = flows.end();
  for (auto flow = flows.begin(); flow != flows.end(); ++flow) {
    if (!is_backlogged(flow->second)) {
      continue;
    }
    if (best == flows.end() ||
        flow->second.virtual_time < best->second.virtual_time) {
      best = flow;
    }
  }
  return best;
}

}  // namespace

FairQueue::TenantFlow& FairQueue::ActivateTenant(
    const AdmissionRequest& request) {
  TenantFlow& tenant = this->tenants[request.tenant];
  tenant.weight = std::max<uint32_t>(request.tenant_weight, 1);
  if (tenant.waiting == 0) {
    tenant.virtual_time = std::max(tenant.virtual_time, this->virtual_clock);
  }
  return tenant;
}

FairQueue::ClassFlow& FairQueue::ActivateClass(
    TenantFlow& tenant,
    const AdmissionRequest& request) {
  ClassFlow& flow = tenant.classes[request.request_class];
  flow.weight = std::max<uint32_t>(request.class_weight, 1);
  if (flow.attempts.empty()) {
    flow.virtual_time = std::max(flow.virtual_time, tenant.class_virtual_clock);
  }
  return flow;
}

void FairQueue::Push(AdmissionRequest request) {
  TenantFlow& tenant = this->ActivateTenant(request);
  ClassFlow& flow = this->ActivateClass(tenant, request);
  const TimePoint deadline = request.deadline;
  flow.attempts.emplace(deadline, std::move(request));
  ++tenant.waiting;
  ++this->waiting;
}

std::optional<AdmissionRequest> FairQueue::Pop() {
  if (this->waiting == 0) {
    return std::nullopt;
  }
  TenantFlow& tenant =
      LeastVirtualTime(this->tenants, [](const TenantFlow& flow) {
        return flow.waiting > 0;
      })->second;
  ClassFlow& flow = LeastVirtualTime(tenant.classes, [](const ClassFlow& flow) {
                      return !flow.attempts.empty();
                    })->second;
  AdmissionRequest request =
      std::move(flow.attempts.extract(flow.attempts.begin()).mapped());
  this->virtual_clock = tenant.virtual_time;
  tenant.class_virtual_clock = flow.virtual_time;
  flow.virtual_time += VirtualTimeCost(flow.weight);
  tenant.virtual_time += VirtualTimeCost(tenant.weight);
  --tenant.waiting;
  --this->waiting;
  this->RemoveIdle(tenant);
  return request;
}

// Removes flows without waiting attempts, so that tenants and classes that are
// no longer in use take no memory. A flow whose virtual time is ahead of the
// clock is kept, so that the attempts already served for it count.
void FairQueue::RemoveIdle(TenantFlow& served) {
  std::erase_if(served.classes, [&](const auto& entry) {
    return entry.second.attempts.empty() &&
           entry.second.virtual_time <= served.class_virtual_clock;
  });
  std::erase_if(this->tenants, [&](const auto& entry) {
    return entry.second.waiting == 0 &&
           entry.second.virtual_time <= this->virtual_clock;
  });
}

std::optional<AdmissionRequest> FairQueue::Remove(std::string_view attempt) {
  for (auto& [id, tenant] : this->tenants) {
    for (auto& [name, flow] : tenant.classes) {
      const auto found = std::find_if(
          flow.attempts.begin(), flow.attempts.end(),
          [&](const auto& entry) { return entry.second.attempt == attempt; });
      if (found != flow.attempts.end()) {
        --tenant.waiting;
        --this->waiting;
        return std::move(flow.attempts.extract(found).mapped());
      }
    }
  }
  return std::nullopt;
}

bool FairQueue::Contains(std::string_view attempt) const {
  bool found = false;
  this->ForEach([&](const AdmissionRequest& request, uint32_t) {
    found = found || request.attempt == attempt;
  });
  return found;
}

uint64_t FairQueue::BackloggedWeight() const {
  uint64_t sum = 0;
  for (const auto& [id, tenant] : this->tenants) {
    sum += tenant.waiting > 0 ? tenant.weight : 0;
  }
  return sum;
}

uint32_t FairQueue::ExpectedPosition(uint64_t ahead_in_tenant,
                                     uint32_t tenant_weight,
                                     uint64_t total_weight) const {
  const uint64_t ahead = ahead_in_tenant * total_weight / tenant_weight;
  return static_cast<uint32_t>(std::min<uint64_t>(ahead, this->waiting));
}

uint32_t FairQueue::PositionOf(const AdmissionRequest& request) const {
  const uint32_t weight = std::max<uint32_t>(request.tenant_weight, 1);
  uint64_t total_weight = this->BackloggedWeight();
  const auto tenant = this->tenants.find(request.tenant);
  if (tenant == this->tenants.end() || tenant->second.waiting == 0) {
    return this->ExpectedPosition(1, weight, total_weight);
  }
  const TenantFlow& tenant_flow = tenant->second;
  uint64_t class_weights = 0;
  for (const auto& [name, flow] : tenant_flow.classes) {
    class_weights += flow.attempts.empty() ? 0 : flow.weight;
  }
  const uint32_t class_weight = std::max<uint32_t>(request.class_weight, 1);
  const auto flow = tenant_flow.classes.find(request.request_class);
  uint64_t ahead = 1;
  if (flow != tenant_flow.classes.end() && !flow->second.attempts.empty()) {
    const auto& attempts = flow->second.attempts;
    ahead = static_cast<uint64_t>(std::distance(
        attempts.begin(), attempts.upper_bound(request.deadline)));
  }
  ahead = std::min<uint64_t>(ahead * class_weights / class_weight,
                             tenant_flow.waiting);
  return this->ExpectedPosition(ahead, weight, total_weight);
}

bool FairQueue::IsOverShare(const TenantId& tenant) const {
  const auto found = this->tenants.find(tenant);
  if (found == this->tenants.end()) {
    return false;
  }
  const TenantFlow& tenant_flow = found->second;
  return uint64_t{tenant_flow.waiting} * this->BackloggedWeight() >
         uint64_t{this->waiting} * tenant_flow.weight;
}

void FairQueue::ForEach(const Visitor& visitor) const {
  const uint64_t total_weight = this->BackloggedWeight();
  for (const auto& [id, tenant] : this->tenants) {
    uint64_t class_weights = 0;
    for (const auto& [name, flow] : tenant.classes) {
      class_weights += flow.attempts.empty() ? 0 : flow.weight;
    }
    for (const auto& [name, flow] : tenant.classes) {
      uint64_t ahead = 0;
      for (const auto& [deadline, request] : flow.attempts) {
        const uint64_t ahead_in_tenant = std::min<uint64_t>(
            ahead * class_weights / flow.weight, tenant.waiting - 1);
        visitor(request, this->ExpectedPosition(ahead_in_tenant, tenant.weight,
                                                total_weight));
        ++ahead;
      }
    }
  }
}

std::optional<AdmissionRequest> FairQueue::EvictMostOverShare() {
  TenantFlow* most_over_share = nullptr;
  for (auto& [id, tenant] : this->tenants) {
    if (tenant.waiting == 0) {
      continue;
    }
    if (most_over_share == nullptr ||
        uint64_t{tenant.waiting} * most_over_share->weight >
            uint64_t{most_over_share->waiting} * tenant.weight) {
      most_over_share = &tenant;
    }
  }
  if (most_over_share == nullptr) {
    return std::nullopt;
  }
  ClassFlow* flow = nullptr;
  for (auto& [name, candidate] : most_over_share->classes) {
    if (flow == nullptr || candidate.attempts.size() * flow->weight >
                               flow->attempts.size() * candidate.weight) {
      flow = &candidate;
    }
  }
  --most_over_share->waiting;
  --this->waiting;
  const auto last = std::prev(flow->attempts.end());
  return std::move(flow->attempts.extract(last).mapped());
}

std::vector<AdmissionRequest> FairQueue::Clear() {
  std::vector<AdmissionRequest> all;
  for (auto& [id, tenant] : this->tenants) {
    for (auto& [name, flow] : tenant.classes) {
      for (auto& [deadline, request] : flow.attempts) {
        all.push_back(std::move(request));
      }
      flow.attempts.clear();
    }
    tenant.waiting = 0;
  }
  this->waiting = 0;
  return all;
}

}  // namespace knapweedroad
