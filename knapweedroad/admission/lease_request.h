// A message from one host to another that requests and releases leases on the
// targets of a zone. One message carries all operations for the receiver.
//
//   LeaseRequest{.holder = self, .incarnation = start, .sequence = 7,
//                .operations = {{.target = target,
//                                .part = LeasePart::kVote}}}

#ifndef KNAPWEEDROAD_ADMISSION_LEASE_REQUEST_H_
#define KNAPWEEDROAD_ADMISSION_LEASE_REQUEST_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

// What an operation applies to. `kVote` is the vote of one host; the host with
// the votes of a majority of the voters (`LeaseVoters()`) holds the lease.
// `kSlots` is the part of the target's slots that the receiving host owns. The
// owner uses it by itself while it doesn't reach a majority of the voters, and
// lends it to the holder of the lease otherwise.
enum class LeasePart : uint8_t { kVote, kSlots };

// Requests or renews a grant from the receiving host, or releases it.
struct LeaseOperation {
  TargetId target;
  LeasePart part = LeasePart::kVote;
  // Releases the grant instead of requesting it.
  bool release = false;
  // How long attempts of the holder may continue to run after the lease has
  // ended. Counts from the expiry of the grant, or, with `release`, from the
  // receipt of the release; zero then means that no attempt is running.
  Duration work_time{};

  // For serialization with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->part, this->release, this->work_time);
  }
};

struct LeaseRequest {
  // The sender, which holds or requests the grants.
  HostId holder;
  // Increases with each start of the sender, and `sequence` with each request
  // of an incarnation. Requests are ordered by incarnation, then by sequence.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // Whether this is the last request of a sender that is stopping: it holds no
  // grants and has no attempts running.
  bool is_final = false;
  // May be empty: the request then only shows that the sender is running, and
  // the reply that the receiver is.
  std::vector<LeaseOperation> operations;

  // For serialization with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->holder, this->incarnation, this->sequence, this->is_final,
            this->operations);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_LEASE_REQUEST_H_
