// The actions that `TargetAdmission` returns to its caller for execution.
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

// The reason why an attempt was refused. An attempt that was refused for any of
// these reasons was never sent to the target.
enum class RefusalKind : uint8_t {
  // It can't finish in time behind the attempts that are already queued.
  kOverloaded,
  // The queue has no room for it in time (as `kOverloaded`) or is full, and its
  // tenant has more than its weighted share of the queued attempts.
  kOverShare,
  // Its deadline passed, or became too close to meet, before it was sent.
  kDeadline,
  // It is a hedge, and no slot was free.
  kNoFreeSlot,
  // The target reported that it is leaving.
  kTargetLeaving,
  // This host accepts no new work for the target: the zone was taken out of
  // service, or the host is shutting down.
  kNotAccepting,
  // This host has no valid lease, or its lease allows no requests now.
  kNoLease,
};
inline constexpr std::size_t kRefusalKinds = 7;

// Returns the name of `kind` in logs and metric labels.
constexpr std::string_view ToString(RefusalKind kind) {
  constexpr std::string_view kNames[kRefusalKinds] = {
      "overloaded",     "over_share",    "deadline", "no_free_slot",
      "target_leaving", "not_accepting", "no_lease"};
  return kNames[static_cast<std::size_t>(kind)];
}

// Send the attempt to the target now. `deadline` may be earlier than the one
// requested; the request to the target must carry this one.
struct StartAttempt {
  std::string attempt;
  TimePoint deadline{};
  friend bool operator==(const StartAttempt&, const StartAttempt&) = default;
};

// Answer the attempt now as refused without having run.
struct RefuseAttempt {
  std::string attempt;
  RefusalKind kind = RefusalKind::kOverloaded;
  // How long the caller should wait before it sends the same request to this
  // target again. Zero: try another target instead.
  Duration retry_after{};
  friend bool operator==(const RefuseAttempt&, const RefuseAttempt&) = default;
};

// Send the target a cancellation of the running attempt, if it can be reached.
struct CancelRunning {
  std::string attempt;
  friend bool operator==(const CancelRunning&, const CancelRunning&) = default;
};

using AdmissionAction =
    std::variant<StartAttempt, RefuseAttempt, CancelRunning>;
using AdmissionActions = std::vector<AdmissionAction>;

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_ADMISSION_ACTION_H_
