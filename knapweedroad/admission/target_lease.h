// What one host holds of one target: votes of the electorate and the parts of
// its slots, each with the time it lasts and the time from which it counts.
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
  kIdle,
  // Has asked for votes and has no majority yet.
  kRequesting,
  // Has a majority of the votes.
  kHeld,
  // Uses its own part of the slots without a majority.
  kIsolated,
  // Sends nothing new, and gives back when the last attempt has ended.
  kDraining,
};

class TargetLease {
 public:
  // The hosts that own a part of a target's slots: the first two in its
  // rendezvous order over all hosts of the zone.
  static constexpr std::size_t kMaxOwners = 2;

  struct Options {
    uint32_t slots = 1;
    std::size_t votes_needed = 1;
    // Empty where the zone has fewer hosts.
    std::array<HostId, kMaxOwners> owners;
    HostId self;
  };

  explicit TargetLease(const Options& options) : options(options) {}

  // Takes in an answer to what was asked at `sent_at`.
  void OnGrant(const HostId& grantor,
               const LeaseGrant& grant,
               TimePoint sent_at,
               TimePoint now,
               const LeaseTiming& timing);

  // Forgets every vote and part.
  void Clear();

  // Until when a majority of the votes lasts; in the past without one.
  TimePoint MajorityUntil() const;

  // What may be sent now. `stopped_from` tells from when on the part of a
  // host counts as free because that host is known not to run; max() for never.
  using StoppedFrom = std::function<TimePoint(const HostId&)>;
  TargetShare Share(TimePoint now, const StoppedFrom& stopped_from) const;

  // Slots that belong to the owner of that rank.
  uint32_t SlotsOfOwner(std::size_t rank) const;
  // The rank of this host, or `kMaxOwners`.
  std::size_t OwnRank() const;
  const std::array<HostId, kMaxOwners>& owners() const {
    return this->options.owners;
  }
  void SetSlots(uint32_t slots) { this->options.slots = slots; }

  LeasePhase phase = LeasePhase::kIdle;
  // Another host has asked for this host's own part.
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
