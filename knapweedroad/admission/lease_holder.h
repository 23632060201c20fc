// One host's part in holding the leases of its zone's targets: asks for those
// it is the preferred host of, renews, hands over, and uses its own part of
// the slots while it is cut off.
//
//   LeaseHolder holder({.self = host, .zone_hosts = ..., .electorate = ...});
//   holder.SetTargets(targets, now);
//   LeaseActions actions = holder.Tick(now);   // messages and shares
//
// `ZoneLeases` joins it with the host's own grantor, and is what to use.

#ifndef KNAPWEEDROAD_ADMISSION_LEASE_HOLDER_H_
#define KNAPWEEDROAD_ADMISSION_LEASE_HOLDER_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "knapweedroad/admission/lease_reply.h"
#include "knapweedroad/admission/lease_request.h"
#include "knapweedroad/admission/lease_timing.h"
#include "knapweedroad/admission/peer_liveness.h"
#include "knapweedroad/admission/target_lease.h"
#include "knapweedroad/admission/target_share.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/target/held_target.h"

namespace knapweedroad {

// A target of this host's zone.
struct LeaseTarget {
  TargetId target;
  uint32_t slots = 1;
  // The longest that an attempt at it may run: the front's longest deadline
  // and the margin of `TargetAdmission`.
  Duration work_time = std::chrono::seconds(10);
};

// What is to be done: requests to send, each over any channel and none of them
// needing a resend, and shares to hand to each target's admission.
struct LeaseActions {
  struct Message {
    HostId to;
    LeaseRequest request;
  };
  struct ShareChange {
    TargetId target;
    TargetShare share;
  };
  std::vector<Message> messages;
  std::vector<ShareChange> shares;
};

class LeaseHolder {
 public:
  struct Options {
    HostId self;
    // Greater with each start of this host.
    uint64_t incarnation = 0;
    TimePoint started{};
    // All configured hosts of the zone, this one included.
    std::vector<HostId> zone_hosts;
    std::vector<HostId> voters;
    LeaseTiming timing;
    // How often anything is asked for again.
    Duration retry_interval = std::chrono::milliseconds(100);
    // A better-placed host must have been there for this long before it is
    // given a target that another one serves well.
    Duration handover_delay = std::chrono::seconds(2);
    // Targets handed over at once, as each starts cold at its next holder.
    uint32_t max_handovers = 2;
  };

  explicit LeaseHolder(const Options& options);

  // All targets of this host's zone that exist now. One that is no longer
  // among them is given up once OnDrained() was said of it.
  void SetTargets(std::span<const LeaseTarget> targets, TimePoint now);

  // The zone's hosts, this one included, that can hold leases now: alive, not
  // leaving, in touch with a majority.
  void SetEligibleHosts(std::span<const HostId> hosts, TimePoint now);

  // Nothing runs any more at a target whose share is zero. To be said when
  // that comes to be so, and when a share becomes zero with nothing running.
  void OnDrained(const TargetId& target);

  // Any request of another host that its grantor took: a sign of its life.
  void OnPeerRequest(const LeaseRequest& request, TimePoint now) {
    this->peer_liveness.OnRequest(request.holder, request.incarnation,
                                  request.is_final, now);
  }

  // The host's peer port refused a connection begun at `attempted`: no process
  // of it runs. To be said of refusals only, never of silence.
  void OnConnectionRefused(const HostId& host,
                           TimePoint attempted,
                           TimePoint now) {
    this->peer_liveness.OnConnectionRefused(host, attempted, now);
  }

  void OnReply(const LeaseReply& reply, TimePoint now);

  // Hands everything over, then says goodbye; gone() once that is done.
  void Leave() { this->leaving = true; }
  bool has_left() const { return this->final_request_sent; }

  LeaseActions Tick(TimePoint now);
  TimePoint NextWake() const { return this->next_wake; }

  // For heartbeats: whether this host can be granted leases now.
  bool ReachesMajority(TimePoint now) const {
    return this->peer_liveness.ReachesMajority(now);
  }
  // The targets that this host may use now, for heartbeats and status.
  std::vector<TargetId> HeldTargetIds() const;
  // The same with what heartbeats say of them.
  std::vector<HeldTarget> HeldTargets(TimePoint now) const;

 private:
  struct Entry {
    TargetLease lease;
    std::vector<HostId> preference_order;
    Duration work_time{};
    TargetShare share;
    TimePoint held_since{};
    // Attempts under a former or present share may run.
    bool may_have_work = false;
    TimePoint next_request{};
    TimePoint next_renewal{};
    // Since when another host has been the preferred one.
    TimePoint other_preferred_since = TimePoint::max();
    // Replies to earlier requests than this are of before a release.
    uint64_t min_valid_sequence = 0;
    // A release waits to be sent.
    bool release_pending = false;
    // Its target is gone; it stays until nothing of it runs.
    bool removed = false;
  };
  using OperationsByHost = std::map<HostId, std::vector<LeaseOperation>>;

  Entry NewEntry(const LeaseTarget& target) const;
  const HostId* PreferredHost(const Entry& entry) const;
  uint32_t DrainingCount() const;
  void Advance(const TargetId& target, Entry& entry, TimePoint now);
  void AdvanceIdle(const TargetId& target, Entry& entry, TimePoint now);
  void AdvanceHeld(const TargetId& target, Entry& entry, TimePoint now);
  void AdvanceDraining(const TargetId& target, Entry& entry, TimePoint now);
  void RequestVotes(const TargetId& target, const Entry& entry);
  void RequestSlotParts(const TargetId& target, const Entry& entry);
  void RequestOwnPart(const TargetId& target, const Entry& entry);
  void ReleaseGrants(const TargetId& target, Entry& entry);
  void AddKeepAlives(TimePoint now);
  void UpdateShares(TimePoint now, LeaseActions& actions);
  void CreateMessages(TimePoint now, LeaseActions& actions);

  Options options;
  PeerLiveness peer_liveness;
  std::map<TargetId, Entry> entries;
  std::set<HostId> eligible_hosts;
  bool leaving = false;
  bool final_request_sent = false;
  uint64_t sequence = 0;
  // When each request was handed out that may still be answered.
  std::map<uint64_t, TimePoint> sent_at;
  OperationsByHost pending_operations;
  TimePoint next_advance{};
  TimePoint next_keepalive{};
  TimePoint next_wake{};
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LEASE_HOLDER_H_
