#include "knapweedroad/quota/token_batches.h"

#include <algorithm>

namespace knapweedroad {

void TokenBatches::Add(uint64_t tokens, BootTime expires) {
  if (tokens == 0) {
    return;
  }
  this->token_count += tokens;
  if (!this->batches.empty() && this->batches.back().expires >= expires) {
    this->batches.back().tokens += tokens;
    return;
  }
  this->batches.push_back({.tokens = tokens, .expires = expires});
}

void TokenBatches::AddOldest(BootTime expires) {
  ++this->token_count;
  if (!this->batches.empty() && this->batches.front().expires <= expires) {
    ++this->batches.front().tokens;
    return;
  }
  this->batches.push_front({.tokens = 1, .expires = expires});
}

void TokenBatches::Renew(BootTime expires) {
  const uint64_t tokens = this->token_count;
  this->batches.clear();
  this->token_count = 0;
  this->Add(tokens, expires);
}

void TokenBatches::RemoveOldest(uint64_t tokens) {
  while (tokens > 0 && !this->batches.empty()) {
    Batch& oldest = this->batches.front();
    const uint64_t removed = std::min(tokens, oldest.tokens);
    oldest.tokens -= removed;
    this->token_count -= removed;
    tokens -= removed;
    if (oldest.tokens == 0) {
      this->batches.pop_front();
    }
  }
}

void TokenBatches::DropExpired(BootTime now) {
  while (!this->batches.empty() && this->batches.front().expires <= now) {
    this->token_count -= this->batches.front().tokens;
    this->batches.pop_front();
  }
}

uint64_t TokenBatches::Count(BootTime now) const {
  uint64_t count = 0;
  for (const Batch& batch : this->batches) {
    count += batch.expires > now ? batch.tokens : 0;
  }
  return count;
}

BootTime TokenBatches::first_expiry() const {
  return this->batches.empty() ? BootTime::max()
                               : this->batches.front().expires;
}

}  // namespace knapweedroad
