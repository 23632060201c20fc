#include "knapweedroad/admission/admission_mode.h"

#include <algorithm>

#include "knapweedroad/admission/rendezvous.h"

namespace knapweedroad {

std::optional<AdmissionMode> ParseAdmissionMode(std::string_view name) {
  for (const AdmissionMode mode :
       {AdmissionMode::kLease, AdmissionMode::kDirectAdaptive,
        AdmissionMode::kSplitSlots}) {
    if (ToString(mode) == name) {
      return mode;
    }
  }
  return std::nullopt;
}

std::string_view ToString(AdmissionMode mode) {
  switch (mode) {
    case AdmissionMode::kLease:
      return "lease";
    case AdmissionMode::kDirectAdaptive:
      return "direct";
    case AdmissionMode::kSplitSlots:
      break;
  }
  return "split";
}

TargetShare SplitShare(const TargetId& target,
                       const HostId& self,
                       std::span<const HostId> hosts,
                       uint32_t slots) {
  const auto order = RendezvousOrder(target, hosts);
  const auto found = std::find(order.begin(), order.end(), self);
  if (found == order.end()) {
    return {};
  }
  const auto rank = static_cast<uint32_t>(found - order.begin());
  const auto count = static_cast<uint32_t>(order.size());
  const uint32_t extra_slot = rank < slots % count ? 1 : 0;
  return {.slots = slots / count + extra_slot};
}

}  // namespace knapweedroad
