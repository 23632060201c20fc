// The ways of keeping many hosts from overloading one target.
//
//   const TargetShare share = SplitShare(target, self, hosts, slots);

#ifndef KNAPWEEDROAD_ADMISSION_ADMISSION_MODE_H_
#define KNAPWEEDROAD_ADMISSION_ADMISSION_MODE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "knapweedroad/admission/target_share.h"
#include "knapweedroad/base/id.h"

namespace knapweedroad {

// `kLease` is the way of the product. The others are there to be measured
// against it: neither keeps a target within what it bears.
enum class AdmissionMode : uint8_t {
  // One host talks to the target, and counts exactly.
  kLease,
  // Each host alone, with an `AdaptiveLimit` (`TargetAdmission::Options`'
  // `adaptive`) and a share of all slots.
  kDirectAdaptive,
  // Each host alone, with its part of the slots for good: `SplitShare`.
  kSplitSlots,
};

// "lease", "direct" or "split"; nothing for any other word.
std::optional<AdmissionMode> ParseAdmissionMode(std::string_view name);
std::string_view ToString(AdmissionMode mode);

// This host's part of a target's slots where they are split evenly. The
// rest of the division goes to the first hosts of the target's rendezvous
// order. Where the slots are fewer than the hosts, the others have none and
// can't use the target at all.
TargetShare SplitShare(const TargetId& target,
                       const HostId& self,
                       std::span<const HostId> hosts,
                       uint32_t slots);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_ADMISSION_MODE_H_
