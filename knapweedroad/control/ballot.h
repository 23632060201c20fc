// The order of attempts at deciding.
//
//   Ballot ballot{.round = highest_seen + 1, .proposer = own_id};

#ifndef KNAPWEEDROAD_CONTROL_BALLOT_H_
#define KNAPWEEDROAD_CONTROL_BALLOT_H_

#include <compare>
#include <cstdint>

namespace knapweedroad {

// One attempt; no two attempts have the same ballot. `proposer` is a random
// number of the process, so a process that starts again may use low rounds
// without ever repeating a ballot, and proposers need no disk.
struct Ballot {
  uint64_t round = 0;
  uint64_t proposer = 0;

  // The ballot below all others: nothing promised, nothing accepted.
  bool IsNone() const { return this->round == 0; }

  friend auto operator<=>(const Ballot&, const Ballot&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->round, this->proposer);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_BALLOT_H_
