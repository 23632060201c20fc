// The reply to a `LeaseRequest`.

#ifndef KNAPWEEDROAD_ADMISSION_LEASE_REPLY_H_
#define KNAPWEEDROAD_ADMISSION_LEASE_REPLY_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/admission/lease_request.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// The result of one operation that requested or renewed a grant.
struct LeaseGrant {
  TargetId target;
  LeasePart part = LeasePart::kVote;
  // Whether the requester has the grant now. If not, it may request it again
  // later.
  bool granted = false;
  // How long attempts of earlier holders may still run, from the receipt of the
  // reply. Nothing may be sent under this grant before that time has passed.
  Duration start_delay{};
  // Whether another host has requested the grant since it was assigned.
  bool wanted = false;

  // For serialization with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->part, this->granted, this->start_delay,
            this->wanted);
  }
};

struct LeaseReply {
  // The sender of the reply.
  HostId grantor;
  // Copied from the request.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // One for each operation that isn't a release, in the same order.
  std::vector<LeaseGrant> grants;

  // For serialization with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->grantor, this->incarnation, this->sequence, this->grants);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LEASE_REPLY_H_
