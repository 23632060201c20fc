// The bytes by which a caller's request goes to a target.

#ifndef KNAPWEEDROAD_EDGE_TARGET_MESSAGE_H_
#define KNAPWEEDROAD_EDGE_TARGET_MESSAGE_H_

#include <string>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct CallerRequest;
struct HeaderNames;

// The request as the caller sent it, with the target that is meant and the time
// that is left, at least a millisecond.
std::string MakeTargetMessage(const HeaderNames& header_names,
                              const CallerRequest& request,
                              const TargetId& target,
                              Duration left);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_TARGET_MESSAGE_H_
