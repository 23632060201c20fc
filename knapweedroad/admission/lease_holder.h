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
#include "knapweedroad/admission/target_lease.h"
#include "knapweedroad/admission/target_share.h"
#include "knapweedroad/admission/zone_contacts.h"
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
    std::vector<HostId> electorate;
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
    this->contacts.OnRequest(request.holder, request.incarnation,
                             request.goodbye, now);
  }

  // The host's peer port refused a connection begun at `attempted`: no process
  // of it runs. To be said of refusals only, never of silence.
  void OnPeerRefused(const HostId& host, TimePoint attempted, TimePoint now) {
    this->contacts.OnRefused(host, attempted, now);
  }

  void OnReply(const LeaseReply& reply, TimePoint now);

  // Hands everything over, then says goodbye; gone() once that is done.
  void Leave() { this->leaving = true; }
  bool gone() const { return this->said_goodbye; }

  LeaseActions Tick(TimePoint now);
  TimePoint NextWake() const { return this->next_wake; }

  // For heartbeats: whether this host can be granted leases now.
  bool ReachesMajority(TimePoint now) const {
    return this->contacts.ReachesMajority(now);
  }
  // The targets that this host may use now, for heartbeats and status.
  std::vector<TargetId> HeldTargets() const;
  // The same with what heartbeats say of them.
  std::vector<HeldTarget> Holdings(TimePoint now) const;

 private:
  struct Entry {
    TargetLease lease;
    std::vector<HostId> order;
    Duration work_time{};
    TargetShare share;
    TimePoint held_since{};
    // Attempts under a former or present share may run.
    bool may_have_work = false;
    TimePoint next_ask{};
    TimePoint next_renewal{};
    // Since when another host has been the preferred one.
    TimePoint better_since = TimePoint::max();
    // Replies to earlier requests than this are of before a release.
    uint64_t valid_from_sequence = 0;
    // A release waits to be sent.
    bool given_back = false;
    // Its target is gone; it stays until nothing of it runs.
    bool removed = false;
  };
  using Asks = std::map<HostId, std::vector<LeaseAsk>>;

  Entry NewEntry(const LeaseTarget& target) const;
  const HostId* Preferred(const Entry& entry) const;
  uint32_t Draining() const;
  void Advance(const TargetId& target, Entry& entry, TimePoint now);
  void AdvanceIdle(const TargetId& target, Entry& entry, TimePoint now);
  void AdvanceHeld(const TargetId& target, Entry& entry, TimePoint now);
  void AdvanceDraining(const TargetId& target, Entry& entry, TimePoint now);
  void AskVotes(const TargetId& target, const Entry& entry);
  void AskParts(const TargetId& target, const Entry& entry);
  void AskOwnPart(const TargetId& target, const Entry& entry);
  void GiveBack(const TargetId& target, Entry& entry);
  void KeepAlive(TimePoint now);
  void UpdateShares(TimePoint now, LeaseActions& actions);
  void Flush(TimePoint now, LeaseActions& actions);

  Options options;
  ZoneContacts contacts;
  std::map<TargetId, Entry> entries;
  std::set<HostId> eligible;
  bool leaving = false;
  bool said_goodbye = false;
  uint64_t sequence = 0;
  // When each request was handed out that may still be answered.
  std::map<uint64_t, TimePoint> sent;
  Asks asks;
  TimePoint next_round{};
  TimePoint next_keepalive{};
  TimePoint next_wake{};
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LEASE_HOLDER_H_
