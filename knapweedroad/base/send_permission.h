// Whether an attempt of a request may be sent to a target.

#ifndef KNAPWEEDROAD_BASE_SEND_PERMISSION_H_
#define KNAPWEEDROAD_BASE_SEND_PERMISSION_H_

#include <cstdint>

namespace knapweedroad {

enum class SendPermission : uint8_t {
  kAllowed,
  kHeld,     // later, depending on the attempts that are out
  kRefused,  // the request is condemned as a query of death
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BASE_SEND_PERMISSION_H_
