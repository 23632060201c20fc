// What a host asks of another one about the leases on a zone's targets. One
// message carries all that it asks of that host.
//
//   LeaseRequest{.holder = self, .incarnation = start, .sequence = 7,
//                .asks = {{.target = target, .part = LeasePart::kVote}}}

#ifndef KNAPWEEDROAD_ADMISSION_LEASE_REQUEST_H_
#define KNAPWEEDROAD_ADMISSION_LEASE_REQUEST_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// `kVote`: the voice of a member of the electorate; a majority of them is the
// lease. `kSlots`: that part of the target's slots which the asked host may use
// by itself while it is cut off, and lends to the holder otherwise.
enum class LeasePart : uint8_t { kVote, kSlots };

struct LeaseOperation {
  TargetId target;
  LeasePart part = LeasePart::kVote;
  // Gives back instead of asking.
  bool release = false;
  // How long work of the holder may run on after the lease has ended: after
  // an expiry, or, with `release`, from now on (zero: nothing runs).
  Duration work_time{};

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->part, this->release, this->work_time);
  }
};

struct LeaseRequest {
  HostId holder;
  // Differs, and grows, with each start of the host; with `sequence`, which
  // grows with each request, it orders requests.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // The host stops, holds nothing any more and has nothing running.
  bool is_final = false;
  // May be empty: a request is also a sign of life that wants an answer.
  std::vector<LeaseOperation> operations;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->holder, this->incarnation, this->sequence, this->is_final,
            this->operations);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LEASE_REQUEST_H_
