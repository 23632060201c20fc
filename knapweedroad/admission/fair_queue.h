// Queues attempts that wait for a slot in weighted fair order: across tenants,
// then across the request classes of a tenant, and by earliest deadline within
// a class.
//
//   FairQueue queue;
//   queue.Push(request);
//   std::optional<AdmissionRequest> next = queue.Pop();
//
// Each tenant, and each class in it, has a virtual time that advances by
// 1/weight with each attempt served. The one with the least virtual time is
// served next. One that was idle resumes at the current virtual time, so that
// it gains no credit while idle.

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
  // Adds an attempt. Its tenant and class take the weights of this request; a
  // weight of zero counts as one.
  void Push(AdmissionRequest request);

  // Removes and returns the next attempt, and advances the virtual times of its
  // tenant and class. Returns nullopt if the queue is empty.
  std::optional<AdmissionRequest> Pop();

  // Removes and returns the attempt with that id; nullopt if it isn't queued.
  std::optional<AdmissionRequest> Remove(std::string_view attempt);

  // Returns whether the attempt with that id is queued.
  bool Contains(std::string_view attempt) const;

  // Returns how many waiting attempts are expected to be served before
  // `request` if it were pushed now.
  uint32_t PositionOf(const AdmissionRequest& request) const;

  // Returns whether the tenant has more attempts waiting per weight than all
  // tenants with waiting attempts have on average.
  bool IsOverShare(const TenantId& tenant) const;

  // Calls `visitor` with each waiting attempt and the number of attempts that
  // are expected to be served before it.
  using Visitor = std::function<void(const AdmissionRequest&, uint32_t)>;
  void ForEach(const Visitor& visitor) const;

  // Removes and returns the attempt to reject when the queue is full: of the
  // tenant with the most attempts waiting per weight, and of its class with the
  // most per weight, the one with the latest deadline. Returns nullopt if the
  // queue is empty.
  std::optional<AdmissionRequest> EvictMostOverShare();

  // Removes and returns all attempts, in no particular order.
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
    // The virtual time of the class served last, before it was served.
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
  // The virtual time of the tenant served last, before it was served.
  uint64_t virtual_clock = 0;
  std::map<TenantId, TenantFlow> tenants;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_FAIR_QUEUE_H_
