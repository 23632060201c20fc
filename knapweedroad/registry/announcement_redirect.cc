#include "knapweedroad/registry/announcement_redirect.h"

#include <cstdint>
#include <vector>

#include <xxhash.h>

namespace knapweedroad {

std::optional<HostId> FindControlHostInZone(
    std::span<const ControlHostRecord> live,
    const AnnouncementOrigin& origin) {
  if (origin.zone == origin.contacted_zone) {
    return std::nullopt;
  }
  std::vector<HostId> candidates;
  for (const ControlHostRecord& record : live) {
    if (record.zone == origin.zone) {
      candidates.push_back(record.host);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const uint64_t hash =
      XXH64(origin.target.str().data(), origin.target.str().size(), 3);
  return candidates[hash % candidates.size()];
}

}  // namespace knapweedroad
