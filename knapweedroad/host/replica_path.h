// The operators' words for moves of control replicas.
//
//   auto move = ParseReplicaPath("replace/leuven-1/leuven-2");

#ifndef KNAPWEEDROAD_HOST_REPLICA_PATH_H_
#define KNAPWEEDROAD_HOST_REPLICA_PATH_H_

#include <optional>
#include <string_view>

#include "knapweedroad/host/control_service.h"

namespace knapweedroad {

// "add/HOST", "remove/HOST", "replace/OLD/NEW" (both the same for a host whose
// disk was lost) and "give-up"; nothing for other words. The author is left
// empty.
std::optional<MoveRequest> ParseReplicaPath(std::string_view words);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_REPLICA_PATH_H_
