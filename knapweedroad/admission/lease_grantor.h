// Grants leases on targets to one host at a time, from memory alone.
//
//   LeaseGrantor grantor({.self = host, .started = now});
//   if (auto reply = grantor.OnRequest(request, now)) Send(*reply);
//
// A grant that was given is refused to all others until it has run out by this
// host's clock. Memory doesn't survive a restart, so that for one lease length
// after its start a grantor grants nothing: all it may have granted in its
// former life has run out by then.

#ifndef KNAPWEEDROAD_ADMISSION_LEASE_GRANTOR_H_
#define KNAPWEEDROAD_ADMISSION_LEASE_GRANTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "knapweedroad/admission/lease_reply.h"
#include "knapweedroad/admission/lease_request.h"
#include "knapweedroad/admission/lease_timing.h"
#include "knapweedroad/base/id.h"

namespace knapweedroad {

class LeaseGrantor {
 public:
  struct Options {
    HostId self;
    LeaseTiming timing;
    TimePoint started{};
  };

  explicit LeaseGrantor(const Options& options);

  // The answer, or nothing for a request that was overtaken by a later one.
  std::optional<LeaseReply> OnRequest(const LeaseRequest& request,
                                      TimePoint now);

 private:
  using Resource = std::pair<TargetId, LeasePart>;
  struct Grant {
    // Empty once it was given back.
    HostId holder;
    uint64_t incarnation = 0;
    TimePoint expiry{};
    Duration work_time{};
    // Until when work of any former holder may run.
    TimePoint former_work_until{};
    bool wanted = false;
  };
  struct Requester {
    std::pair<uint64_t, uint64_t> latest_order;
    TimePoint received_at{};
  };

  bool IsOutOfOrder(const LeaseRequest& request, TimePoint now);
  Grant& FindOrAddGrant(const LeaseOperation& operation);
  void Release(const LeaseRequest& request,
               const LeaseOperation& operation,
               TimePoint now);
  LeaseGrant Acquire(const LeaseRequest& request,
                     const LeaseOperation& operation,
                     TimePoint now);
  bool TryAssign(Grant& grant, const LeaseRequest& request, TimePoint now);
  bool TryEndGrant(Grant& grant, bool same_host, TimePoint now);
  void RemoveExpired(TimePoint now);

  Options options;
  TimePoint grants_from;
  // What may run of the grants of a former life of this host.
  TimePoint unrecorded_work_until;
  std::map<Resource, Grant> grants;
  std::map<HostId, Requester> requesters;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LEASE_GRANTOR_H_
