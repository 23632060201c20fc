// The set of control replicas that a value names, and its quorums.
//
//   if (value.members.IsQuorum(promised_by)) { ... }

#ifndef KNAPWEEDROAD_CONTROL_MEMBERSHIP_H_
#define KNAPWEEDROAD_CONTROL_MEMBERSHIP_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "knapweedroad/control/member_id.h"

namespace knapweedroad {

// A change of members runs kStable -> kJoining -> kFinishing -> kStable, or
// by way of kReverting when it is given up.
enum class MembershipPhase : uint8_t {
  kStable,     // `current` decides
  kJoining,    // both sets decide; new members may not hold the value yet
  kFinishing,  // both decide; it is settled that `next` takes over
  kReverting,  // both decide; it is settled that `current` stays
};

struct Membership {
  // Rises by one with each step of a change.
  uint64_t epoch = 0;
  MembershipPhase phase = MembershipPhase::kStable;
  std::vector<MemberId> current;
  // Empty while stable.
  std::vector<MemberId> next;

  // Whether `members` hold a majority of `current` and, during a change, one
  // of `next` as well.
  bool IsQuorum(const std::set<MemberId>& members) const;

  // Every member of either set, each once.
  std::vector<MemberId> Everyone() const;

  // Members of `next` that aren't in `current`.
  std::vector<MemberId> Joining() const;

  // The member of `current` with that name.
  std::optional<MemberId> FindCurrent(const HostId& host) const;

  friend bool operator==(const Membership&, const Membership&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->epoch, this->phase, this->current, this->next);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_MEMBERSHIP_H_
