// What `TargetAdmission` asks its surroundings to do.
//
//   for (const AdmissionAction& action : admission.Submit(request, now)) {
//     std::visit(executor, action);
//   }

#ifndef KNAPWEEDROAD_ADMISSION_ADMISSION_ACTION_H_
#define KNAPWEEDROAD_ADMISSION_ADMISSION_ACTION_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// Why an attempt was turned away. Of each of them it is proven that the
// attempt did not run.
enum class RefusalKind : uint8_t {
  // It can't be done by its deadline behind what already waits.
  kOverloaded,
  // The same, and its tenant already has more than its share waiting.
  kOverShare,
  // Its deadline passed, or came too near, before it was sent.
  kDeadline,
  // A hedge that found no free slot.
  kNoFreeSlot,
  // The target leaves.
  kTargetLeaving,
  // No new work is accepted for this target (zone out, host leaving).
  kNotAccepting,
  // This host has no lease, or only one that bears no slots now.
  kNoLease,
};
inline constexpr std::size_t kRefusalKinds = 7;

// A word for logs and metric labels.
constexpr std::string_view ToString(RefusalKind kind) {
  constexpr std::string_view kNames[kRefusalKinds] = {
      "overloaded",     "over_share",    "deadline", "no_free_slot",
      "target_leaving", "not_accepting", "no_lease"};
  return kNames[static_cast<std::size_t>(kind)];
}

// Send it now. The deadline may be nearer than the one asked for, and is the
// one that the target must be told.
struct StartAttempt {
  std::string attempt;
  TimePoint deadline{};
  friend bool operator==(const StartAttempt&, const StartAttempt&) = default;
};

// Answer it now as not run.
struct RefuseAttempt {
  std::string attempt;
  RefusalKind kind = RefusalKind::kOverloaded;
  // When the same request may fit here; zero where another target is the
  // better hope.
  Duration retry_after{};
  friend bool operator==(const RefuseAttempt&, const RefuseAttempt&) = default;
};

// Tell the target to give up on it, if it can be told.
struct CancelRunning {
  std::string attempt;
  friend bool operator==(const CancelRunning&, const CancelRunning&) = default;
};

using AdmissionAction =
    std::variant<StartAttempt, RefuseAttempt, CancelRunning>;
using AdmissionActions = std::vector<AdmissionAction>;

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_ADMISSION_ACTION_H_
