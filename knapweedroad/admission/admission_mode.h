// The methods that limit the combined load of many hosts on one target.
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

// Production hosts use `kLease`. The other modes exist for comparison in
// benchmarks; neither of them keeps the load within the target's capacity.
enum class AdmissionMode : uint8_t {
  // Only the host that holds the target's lease sends to it, so its count of
  // running requests is exact.
  kLease,
  // Each host may use all slots and limits itself with its own `AdaptiveLimit`
  // (`TargetAdmission::Options::use_adaptive_limit`).
  kDirectAdaptive,
  // Each host has a fixed part of the slots; see `SplitShare()`.
  kSplitSlots,
};

// Returns the mode named "lease", "direct" or "split", or nullopt for any other
// name. `ToString()` returns these names.
std::optional<AdmissionMode> ParseAdmissionMode(std::string_view name);
std::string_view ToString(AdmissionMode mode);

// Returns the share of host `self` when the target's slots are split evenly
// over `hosts`. The remainder of the division goes, one slot each, to the first
// hosts in the target's rendezvous order. With fewer slots than hosts, the
// remaining hosts get no slots and can't use the target. Returns a share
// without slots if `self` isn't in `hosts`. The share doesn't expire.
TargetShare SplitShare(const TargetId& target,
                       const HostId& self,
                       std::span<const HostId> hosts,
                       uint32_t slots);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_ADMISSION_MODE_H_
