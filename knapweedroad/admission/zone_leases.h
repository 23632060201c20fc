// Leases on the targets of one host's zone, both sides of them: what this host
// holds and what it grants. No replica of control and no disk is involved.
//
//   ZoneLeases leases({.self = host, .zone = zone, .hosts = settings.hosts,
//                      .incarnation = start_time, .started = now});
//   leases.SetTargets(targets, now);
//   leases.SetEligibleHosts(hosts, now);
//   Run(leases.Tick(now));            // at NextWake(), and after each event
//   Run(leases.OnRequest(request, now));
//
// The way it works and what it is proof against is in docs/design/leases.md.

#ifndef KNAPWEEDROAD_ADMISSION_ZONE_LEASES_H_
#define KNAPWEEDROAD_ADMISSION_ZONE_LEASES_H_

#include <cstdint>
#include <span>
#include <vector>

#include "knapweedroad/admission/lease_grantor.h"
#include "knapweedroad/admission/lease_holder.h"
#include "knapweedroad/admission/lease_reply.h"
#include "knapweedroad/admission/lease_request.h"
#include "knapweedroad/admission/lease_timing.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

class ZoneLeases {
 public:
  struct Options {
    HostId self;
    ZoneId zone;
    // All hosts of the deployment. Hosts that disagree on the zone's list, or
    // on `timing`, void every promise made here.
    std::vector<PeerSettings> hosts;
    // Greater with each start: the system clock's time of it will do.
    uint64_t incarnation = 0;
    TimePoint started{};
    LeaseTiming timing;
    Duration retry_interval = std::chrono::milliseconds(100);
    Duration handover_delay = std::chrono::seconds(2);
    uint32_t max_handovers = 2;
  };

  // To be carried out in this order: shares, then requests and replies. A reply
  // may tell another host that a share has ended.
  struct Actions {
    struct Reply {
      HostId to;
      LeaseReply reply;
    };
    std::vector<LeaseActions::ShareChange> shares;
    std::vector<LeaseActions::Message> requests;
    std::vector<Reply> replies;
  };

  explicit ZoneLeases(const Options& options);

  // As in `LeaseHolder`.
  void SetTargets(std::span<const LeaseTarget> targets, TimePoint now);
  void SetEligibleHosts(std::span<const HostId> hosts, TimePoint now);
  void OnDrained(const TargetId& target);
  void OnConnectionRefused(const HostId& host,
                           TimePoint attempted,
                           TimePoint now);
  void Leave();
  bool has_left() const { return this->holder.has_left(); }

  // From other hosts. This host must listen for requests before it sends any.
  Actions OnRequest(const LeaseRequest& request, TimePoint now);
  Actions OnReply(const LeaseReply& reply, TimePoint now);

  // Also to be called after each of the events that return nothing.
  Actions Tick(TimePoint now);
  TimePoint NextWake() const { return this->holder.NextWake(); }

  bool ReachesMajority(TimePoint now) const {
    return this->holder.ReachesMajority(now);
  }
  std::vector<TargetId> HeldTargetIds() const {
    return this->holder.HeldTargetIds();
  }
  std::vector<HeldTarget> HeldTargets(TimePoint now) const {
    return this->holder.HeldTargets(now);
  }

 private:
  static LeaseHolder::Options HolderOptions(const Options& options);
  void AdvanceHolder(TimePoint now, Actions& actions);

  HostId self;
  LeaseGrantor grantor;
  LeaseHolder holder;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_ZONE_LEASES_H_
