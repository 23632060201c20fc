// Why a request asks for an attempt beyond a service's first.

#ifndef KNAPWEEDROAD_ROUTING_EXTRA_PURPOSE_H_
#define KNAPWEEDROAD_ROUTING_EXTRA_PURPOSE_H_

#include <cstdint>

namespace knapweedroad {

// In the order in which they give way to each other.
enum class ExtraPurpose : uint8_t {
  kNeeded,    // in place of a failed one, and the answer fails without it
  kCoverage,  // in place of a failed one that the answer can do without
  kLate,      // beside one that is late
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_EXTRA_PURPOSE_H_
