// A request to send one attempt to one target, passed to
// `TargetAdmission::Submit()`.
//
//   AdmissionRequest{.attempt = "q-17.3", .tenant = TenantId("vrt"),
//                    .request_class = "desk", .deadline = now + 300ms}

#ifndef KNAPWEEDROAD_ADMISSION_ADMISSION_REQUEST_H_
#define KNAPWEEDROAD_ADMISSION_ADMISSION_REQUEST_H_

#include <cstdint>
#include <string>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// `kHedge` is sent while an earlier attempt is still running. It takes a slot
// that is free at once or is refused; it is never queued.
enum class AttemptKind : uint8_t { kFirstTry, kHedge, kRetry };

struct AdmissionRequest {
  // The id of the attempt, unique across all hosts.
  std::string attempt;
  TenantId tenant;
  std::string request_class;
  // The weights in fair queuing: of the tenant among tenants, and of the class
  // among the tenant's classes. Zero counts as one.
  uint32_t tenant_weight = 1;
  uint32_t class_weight = 1;
  FrontId front;
  // The time by which the attempt must be answered, by this host's clock.
  TimePoint deadline{};
  AttemptKind kind = AttemptKind::kFirstTry;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_ADMISSION_REQUEST_H_
