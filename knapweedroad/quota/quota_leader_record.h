// The control host that keeps the quotas, as the agreed state names it.

#ifndef KNAPWEEDROAD_QUOTA_QUOTA_LEADER_RECORD_H_
#define KNAPWEEDROAD_QUOTA_QUOTA_LEADER_RECORD_H_

#include <cstdint>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

struct QuotaLeaderRecord {
  // Empty if none was chosen yet.
  HostId host;
  // Rises with each choice.
  uint64_t term = 0;

  friend bool operator==(const QuotaLeaderRecord&,
                         const QuotaLeaderRecord&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->term);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_QUOTA_LEADER_RECORD_H_
