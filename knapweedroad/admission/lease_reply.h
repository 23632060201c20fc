// The answer to a `LeaseRequest`.

#ifndef KNAPWEEDROAD_ADMISSION_LEASE_REPLY_H_
#define KNAPWEEDROAD_ADMISSION_LEASE_REPLY_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/admission/lease_request.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct LeaseGrant {
  TargetId target;
  LeasePart part = LeasePart::kVote;
  bool granted = false;
  // Work of an earlier holder may run for so long yet: nothing may be sent
  // under this grant before that.
  Duration start_delay{};
  // Another host has asked for it in the meantime.
  bool wanted = false;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->part, this->granted, this->start_delay,
            this->wanted);
  }
};

struct LeaseReply {
  HostId grantor;
  // Of the request, as they stood there.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // One for each ask that is no release.
  std::vector<LeaseGrant> grants;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->grantor, this->incarnation, this->sequence, this->grants);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LEASE_REPLY_H_
