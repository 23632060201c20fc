// Tokens with the times at which they expire, oldest first.
//
//   TokenBatches batches;
//   batches.Add(3, now + lifetime);
//   batches.DropExpired(now);
//   if (batches.total() > 0) batches.RemoveOldest(1);

#ifndef KNAPWEEDROAD_QUOTA_TOKEN_BATCHES_H_
#define KNAPWEEDROAD_QUOTA_TOKEN_BATCHES_H_

#include <cstdint>
#include <deque>

#include "knapweedroad/base/boot_clock.h"

namespace knapweedroad {

class TokenBatches {
 public:
  // Adds tokens that expire no earlier than those added before.
  void Add(uint64_t tokens, BootTime expires);
  // Adds a token that expires no later than all others.
  void AddOldest(BootTime expires);
  // Sets when all tokens expire.
  void Renew(BootTime expires);
  // Removes the tokens that expire first. `tokens` is at most total().
  void RemoveOldest(uint64_t tokens);
  // Removes the tokens that expire at `now` or before.
  void DropExpired(BootTime now);

  uint64_t total() const { return this->token_count; }
  // Tokens that expire after `now`.
  uint64_t Count(BootTime now) const;
  // When the oldest tokens expire; BootTime::max() if there are none.
  BootTime first_expiry() const;

 private:
  struct Batch {
    uint64_t tokens = 0;
    BootTime expires;
  };

  std::deque<Batch> batches;
  uint64_t token_count = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_TOKEN_BATCHES_H_
