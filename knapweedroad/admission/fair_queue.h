// Attempts that wait for a slot, in weighted fair order: across tenants, then
// across the classes of a tenant, the earliest deadline first inside a class.
//
//   FairQueue queue;
//   queue.Push(request);
//   std::optional<AdmissionRequest> next = queue.Pop();
//
// Each tenant, and each class in it, has a virtual time that advances by
// 1/weight with each attempt served; the one that is behind goes next. One that
// comes back from idleness starts at the present, so that it can't save up.

#ifndef KNAPWEEDROAD_ADMISSION_FAIR_QUEUE_H_
#define KNAPWEEDROAD_ADMISSION_FAIR_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "knapweedroad/admission/admission_request.h"

namespace knapweedroad {

class FairQueue {
 public:
  void Push(AdmissionRequest request);

  // The next one in order, removed and charged to its tenant and class.
  std::optional<AdmissionRequest> Pop();

  // Takes out the attempt of that name, if it waits.
  std::optional<AdmissionRequest> Remove(std::string_view attempt);

  bool Contains(std::string_view attempt) const;

  // How many waiting attempts are expected to be served before `request` if it
  // were pushed now.
  uint32_t PositionOf(const AdmissionRequest& request) const;

  // Whether the tenant has more waiting, for its weight, than the average.
  bool IsOverShare(const TenantId& tenant) const;

  // Visits each waiting attempt with the number expected to be served first.
  using Visitor = std::function<void(const AdmissionRequest&, uint32_t)>;
  void ForEach(const Visitor& visitor) const;

  // Takes out the latest deadline of the tenant that has most waiting for its
  // weight: the one to give up when the queue is full.
  std::optional<AdmissionRequest> EvictMostOverShare();

  // Takes out all, in no particular order.
  std::vector<AdmissionRequest> Clear();

  uint32_t size() const { return this->waiting; }
  bool empty() const { return this->waiting == 0; }

 private:
  struct ClassFlow {
    uint64_t virtual_time = 0;
    uint32_t weight = 1;
    std::multimap<TimePoint, AdmissionRequest> attempts;
  };
  struct TenantFlow {
    uint64_t virtual_time = 0;
    uint32_t weight = 1;
    uint32_t waiting = 0;
    // The virtual time of the class served last.
    uint64_t class_virtual_clock = 0;
    std::map<std::string, ClassFlow, std::less<>> classes;
  };

  TenantFlow& ActivateTenant(const AdmissionRequest& request);
  ClassFlow& ActivateClass(TenantFlow& tenant, const AdmissionRequest& request);
  void RemoveIdle(TenantFlow& served);
  uint64_t BackloggedWeight() const;
  uint32_t ExpectedPosition(uint64_t ahead_in_tenant,
                            uint32_t tenant_weight,
                            uint64_t total_weight) const;

  uint32_t waiting = 0;
  // The virtual time of the tenant served last.
  uint64_t virtual_clock = 0;
  std::map<TenantId, TenantFlow> tenants;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_FAIR_QUEUE_H_
