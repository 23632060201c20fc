// Assigns each grant of this host, a vote or a part of a target's slots, to one
// host at a time. Its state is kept in memory only.
//
//   LeaseGrantor grantor({.self = host, .started = now});
//   if (auto reply = grantor.OnRequest(request, now)) Send(*reply);
//
// While a host has a grant, requests of all other hosts are denied until the
// grant is released or expires by this host's clock. A restart loses the state.
// A grantor therefore grants nothing for one lease length after its start, with
// an allowance for clock drift: all grants of its former incarnation have
// expired by then.

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
    // The start of this process, by the clock of the `now` parameters.
    TimePoint started{};
  };

  explicit LeaseGrantor(const Options& options);

  // Applies the operations of `request` in order and returns the reply to send
  // to its holder. Returns nullopt, without any effect, if this request or a
  // later one of the same host was received before.
  std::optional<LeaseReply> OnRequest(const LeaseRequest& request,
                                      TimePoint now);

 private:
  using Resource = std::pair<TargetId, LeasePart>;
  struct Grant {
    // Empty after a release.
    HostId holder;
    uint64_t incarnation = 0;
    TimePoint expiry{};
    // How long attempts of the holder may continue to run after `expiry`.
    Duration work_time{};
    // The time until which attempts of any former holder may run.
    TimePoint former_work_until{};
    // Whether another host has requested it since it was assigned.
    bool wanted = false;
  };
  struct Requester {
    // The incarnation and sequence of the latest request.
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
  // Requests are denied before this time.
  TimePoint grants_from;
  // The time until which attempts may run under grants of a former incarnation
  // of this host, which have no record.
  TimePoint unrecorded_work_until;
  std::map<Resource, Grant> grants;
  std::map<HostId, Requester> requesters;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LEASE_GRANTOR_H_
