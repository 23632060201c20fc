// What asks for one slot of one target.
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

// A hedge only ever takes a slot that is free at that moment; it never waits.
enum class AttemptKind : uint8_t { kFirstTry, kHedge, kRetry };

struct AdmissionRequest {
  // Unique to this attempt, over all hosts.
  std::string attempt;
  TenantId tenant;
  std::string request_class;
  // Relative shares of the tenant, and of the class inside the tenant; zero
  // counts as one.
  uint32_t tenant_weight = 1;
  uint32_t class_weight = 1;
  FrontId front;
  // By this host's clock.
  TimePoint deadline{};
  AttemptKind kind = AttemptKind::kFirstTry;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_ADMISSION_REQUEST_H_
