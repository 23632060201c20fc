// The grants that one host holds for one target: votes of the hosts that
// `LeaseVoters()` returns, and parts of the target's slots lent by the hosts
// that own them. Each grant has a time from which it may be used and a
// time at which it expires.
//
//   lease.OnGrant(grantor, grant, sent_at, now, timing);
//   TargetShare share = lease.Share(now, stopped_from);

#ifndef KNAPWEEDROAD_ADMISSION_TARGET_LEASE_H_
#define KNAPWEEDROAD_ADMISSION_TARGET_LEASE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "knapweedroad/admission/lease_reply.h"
#include "knapweedroad/admission/lease_timing.h"
#include "knapweedroad/admission/target_share.h"
#include "knapweedroad/base/id.h"

namespace knapweedroad {

enum class LeasePhase : uint8_t {
  // Holds no lease and requests none.
  kIdle,
  // Has requested votes and has no majority yet.
  kRequesting,
  // Has a majority of the votes.
  kHeld,
  // Has no majority and uses only its own part of the slots.
  kIsolated,
  // Sends no new requests, and releases its grants when the last attempt ends.
  kDraining,
};

class TargetLease {
 public:
  // The largest number of hosts that each own a part of a target's slots. They
  // are the first hosts in its rendezvous order over all hosts of the zone.
  static constexpr std::size_t kMaxOwners = 2;

  struct Options {
    uint32_t slots = 1;
    // The number of votes that form a majority.
    std::size_t votes_needed = 1;
    // In order of rank. An entry is empty if the zone has fewer hosts.
    std::array<HostId, kMaxOwners> owners;
    HostId self;
  };

  explicit TargetLease(const Options& options) : options(options) {}

  // Records a grant from `grantor`. `sent_at` is the time at which the request
  // for it was sent; the grant expires `timing.HolderLeaseLength()` after that.
  // A reply that denies the grant has no effect.
  void OnGrant(const HostId& grantor,
               const LeaseGrant& grant,
               TimePoint sent_at,
               TimePoint now,
               const LeaseTiming& timing);

  // Removes all votes and parts.
  void Clear();

  // Returns the time until which the recorded votes form a majority, which may
  // be in the past. TimePoint{} if there are too few votes.
  TimePoint MajorityUntil() const;

  // Returns the share of the target that this host may use now; no slots except
  // in phases `kHeld` and `kIsolated`. `stopped_from` returns the time from
  // which a host's part counts as free because that host is known not to be
  // running, or TimePoint::max() if it isn't known.
  using StoppedFrom = std::function<TimePoint(const HostId&)>;
  TargetShare Share(TimePoint now, const StoppedFrom& stopped_from) const;

  // Returns the number of slots that belong to the owner of that rank.
  uint32_t SlotsOfOwner(std::size_t rank) const;
  // Returns the rank of this host, or `kMaxOwners` if it owns no part.
  std::size_t OwnRank() const;
  const std::array<HostId, kMaxOwners>& owners() const {
    return this->options.owners;
  }
  void SetSlots(uint32_t slots) { this->options.slots = slots; }

  // Set by the caller; determines what Share() returns.
  LeasePhase phase = LeasePhase::kIdle;
  // Whether another host has requested this host's own part.
  bool own_part_wanted = false;

 private:
  struct GrantPeriod {
    TimePoint valid_until{};
    TimePoint usable_from{};
  };

  TargetShare MajorityShare(TimePoint now,
                            const StoppedFrom& stopped_from) const;
  TargetShare IsolatedShare(TimePoint now) const;

  Options options;
  std::map<HostId, GrantPeriod> votes;
  std::array<GrantPeriod, kMaxOwners> parts;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_TARGET_LEASE_H_
