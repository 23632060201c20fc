#include "knapweedroad/quota/leader_lease.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {
namespace {

constexpr uint64_t kFirstTerm = 1;

}  // namespace

LeaderLease::LeaderLease(LeaderLeaseOptions options)
    : options(std::move(options)) {}

void LeaderLease::OnAgreed(const QuotaLeaderRecord& leader, BootTime now) {
  if (leader.term <= this->newest.term) {
    return;
  }
  this->newest = leader;
  this->confirmed_at.reset();
  if (leader.term == kFirstTerm) {
    this->term_begins = now;
    return;
  }
  // Twice the drift, so that it ends strictly later than the lease of the term
  // before, by any clock.
  this->term_begins =
      now + std::chrono::duration_cast<Duration>(this->options.length *
                                                 (1 + 2 * kMaxClockDrift));
}

void LeaderLease::OnConfirmed(const QuotaLeaderRecord& leader, BootTime began) {
  if (leader != this->newest) {
    return;
  }
  this->confirmed_at =
      this->confirmed_at ? std::max(*this->confirmed_at, began) : began;
}

bool LeaderLease::IsHeld(BootTime now) const {
  return this->term() != 0 && now >= this->term_begins && this->confirmed_at &&
         now - *this->confirmed_at < this->options.length;
}

uint64_t LeaderLease::term() const {
  return this->newest.host == this->options.self ? this->newest.term : 0;
}

}  // namespace knapweedroad
