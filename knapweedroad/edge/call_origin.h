// Where a call of an operator came from.

#ifndef KNAPWEEDROAD_EDGE_CALL_ORIGIN_H_
#define KNAPWEEDROAD_EDGE_CALL_ORIGIN_H_

#include <functional>

#include "knapweedroad/base/boot_clock.h"

namespace knapweedroad {

struct CallOrigin {
  // When the call's first byte was read.
  BootTime received;
  // Whether the caller has closed its connection. Unset: not known.
  std::function<bool()> is_abandoned;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_CALL_ORIGIN_H_
