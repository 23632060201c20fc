// The leases on the targets of one host's zone: those that this host holds, and
// those that it grants to others. They depend on neither control replicas nor
// disks.
//
//   ZoneLeases leases({.self = host, .zone = zone, .hosts = settings.hosts,
//                      .incarnation = start_time, .started = now});
//   leases.SetTargets(targets, now);
//   leases.SetEligibleHosts(hosts, now);
//   Run(leases.Tick(now));            // at NextWake() and after each event
//   Run(leases.OnRequest(request, now));
//
// docs/design/leases.md describes the protocol and the faults that it
// tolerates.

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
    // All hosts of the deployment. The hosts of a zone must have the same list
    // and the same `timing`; otherwise nothing limits what they send to a
    // target together.
    std::vector<PeerSettings> hosts;
    // Must increase with each start of this host, as the start time by the
    // system clock does.
    uint64_t incarnation = 0;
    // The start of this process, by the clock of the `now` parameters.
    TimePoint started{};
    LeaseTiming timing;
    // These are documented at `LeaseHolder::Options`.
    Duration retry_interval = std::chrono::milliseconds(100);
    Duration handover_delay = std::chrono::seconds(2);
    uint32_t max_handovers = 2;
  };

  // What the caller must do next, in this order: apply the shares, then send
  // the requests and replies. A reply may let another host use slots that a
  // change of shares has freed.
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

  // As in `LeaseHolder`. Call Tick() after each of them.
  void SetTargets(std::span<const LeaseTarget> targets, TimePoint now);
  void SetEligibleHosts(std::span<const HostId> hosts, TimePoint now);
  void OnDrained(const TargetId& target);
  void OnConnectionRefused(const HostId& host,
                           TimePoint attempted_at,
                           TimePoint now);
  void Leave();
  bool has_left() const { return this->holder.has_left(); }

  // Processes a message of another host. This host must accept requests before
  // it sends any. OnRequest() has no effect and returns no actions if this
  // request or a later one of the sender was received before.
  Actions OnRequest(const LeaseRequest& request, TimePoint now);
  Actions OnReply(const LeaseReply& reply, TimePoint now);

  // Updates the lease state of all targets. Must be called at NextWake(), and
  // after each event whose function returns no actions.
  Actions Tick(TimePoint now);
  // Returns the time at which Tick() must be called next.
  TimePoint NextWake() const { return this->holder.NextWake(); }

  // As in `LeaseHolder`.
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
