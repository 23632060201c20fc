// Holds leases on the targets of one host's zone. It requests the leases of the
// targets for which this host is the preferred one, renews them, and hands them
// over when another host becomes the preferred one. While this host is isolated
// (it doesn't reach a majority of the voters), it uses only the part of the
// slots that it owns.
//
//   LeaseHolder holder({.self = host, .zone_hosts = ..., .voters = ...});
//   holder.SetTargets(targets, now);
//   LeaseActions actions = holder.Tick(now);   // messages and shares
//
// Use `ZoneLeases`, which combines it with the host's own grantor.

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
  // The longest time that an attempt at the target may run: the longest
  // deadline of its front plus the margin of `TargetAdmission`.
  Duration work_time = std::chrono::seconds(10);
};

// What the caller must do next: send the requests, and apply each share to the
// admission of its target. Requests may be sent over any channel, and a lost
// one needs no resend.
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
    // Must increase with each start of this host.
    uint64_t incarnation = 0;
    // The start of this process, by the clock of the `now` parameters.
    TimePoint started{};
    // All configured hosts of the zone, this one included.
    std::vector<HostId> zone_hosts;
    // The hosts that vote on leases (`LeaseVoters()`).
    std::vector<HostId> voters;
    LeaseTiming timing;
    // The interval at which the state of each target is advanced and failed
    // requests are repeated.
    Duration retry_interval = std::chrono::milliseconds(100);
    // How long another host must have been the preferred one before a working
    // holder hands the target over to it.
    Duration handover_delay = std::chrono::seconds(2);
    // The most targets that are handed over at once. Each of them starts cold
    // at its next holder.
    uint32_t max_handovers = 2;
  };

  explicit LeaseHolder(const Options& options);

  // Sets all targets of this host's zone. A target that is no longer listed is
  // drained, and released after OnDrained() is called for it.
  void SetTargets(std::span<const LeaseTarget> targets, TimePoint now);

  // Sets the hosts of the zone that can hold leases now, this one included:
  // they are running, aren't leaving and reach a majority of the voters.
  void SetEligibleHosts(std::span<const HostId> hosts, TimePoint now);

  // Reports that no attempt of this host is running at a target whose share is
  // zero. Must be called when the last attempt ends, and when the share becomes
  // zero while none is running. Has no effect while the share isn't zero.
  void OnDrained(const TargetId& target);

  // Records a request of another host that this host's grantor accepted.
  void OnPeerRequest(const LeaseRequest& request, TimePoint now) {
    this->peer_liveness.OnRequest(request.holder, request.incarnation,
                                  request.is_final, now);
  }

  // Records that the host's peer port refused a connection begun at
  // `attempted_at`, which shows that no process of that host is running. Must
  // be called for refusals only, never for a timeout.
  void OnConnectionRefused(const HostId& host,
                           TimePoint attempted_at,
                           TimePoint now) {
    this->peer_liveness.OnConnectionRefused(host, attempted_at, now);
  }

  // Applies a reply. Ignores it if it doesn't belong to a request of this
  // incarnation that was sent within the last lease length.
  void OnReply(const LeaseReply& reply, TimePoint now);

  // Starts to leave: the following calls of Tick() drain and release all
  // targets, then return the final requests. has_left() is true after that.
  void Leave() { this->leaving = true; }
  bool has_left() const { return this->final_request_sent; }

  // Updates the lease state of all targets and returns what to do next. Must be
  // called at NextWake() and after each event.
  LeaseActions Tick(TimePoint now);
  // Returns the time at which Tick() must be called next.
  TimePoint NextWake() const { return this->next_wake; }

  // Returns whether this host reaches a majority of the voters, and so can hold
  // leases now. Used in heartbeats.
  bool ReachesMajority(TimePoint now) const {
    return this->peer_liveness.ReachesMajority(now);
  }
  // Returns the targets that this host may use now, for heartbeats and status.
  std::vector<TargetId> HeldTargetIds() const;
  // Returns the same targets with the details that heartbeats send.
  std::vector<HeldTarget> HeldTargets(TimePoint now) const;

 private:
  struct Entry {
    TargetLease lease;
    // The hosts of the zone, the most preferred first.
    std::vector<HostId> preference_order;
    Duration work_time{};
    TargetShare share;
    TimePoint held_since{};
    // Whether attempts under a former or the present share may be running.
    bool may_have_work = false;
    TimePoint next_request{};
    TimePoint next_renewal{};
    // The time since which another host has been the preferred one.
    TimePoint other_preferred_since = TimePoint::max();
    // Replies to requests before this one are ignored: a release followed them.
    uint64_t min_valid_sequence = 0;
    // Whether a release has not been returned by Tick() yet.
    bool release_pending = false;
    // Whether the target is no longer listed. The entry is kept until no
    // attempt is running.
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
  // The time at which Tick() returned each request that may still get a reply.
  std::map<uint64_t, TimePoint> sent_at;
  OperationsByHost pending_operations;
  TimePoint next_advance{};
  TimePoint next_keepalive{};
  TimePoint next_wake{};
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LEASE_HOLDER_H_
