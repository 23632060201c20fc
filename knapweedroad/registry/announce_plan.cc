#include "knapweedroad/registry/announce_plan.h"

#include <cstdint>
#include <vector>

#include <xxhash.h>

namespace knapweedroad {

std::optional<HostId> NearerControlHost(std::span<const ControlHostRecord> live,
                                        const AnnouncePlace& place) {
  if (place.zone == place.reached) {
    return std::nullopt;
  }
  std::vector<HostId> near;
  for (const ControlHostRecord& record : live) {
    if (record.zone == place.zone) {
      near.push_back(record.host);
    }
  }
  if (near.empty()) {
    return std::nullopt;
  }
  const uint64_t hash =
      XXH64(place.target.str().data(), place.target.str().size(), 3);
  return near[hash % near.size()];
}

}  // namespace knapweedroad
