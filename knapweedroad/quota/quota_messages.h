// The messages of quotas: entry hosts ask the pool of a control host for
// permits, and pools ask the leader for tokens.

#ifndef KNAPWEEDROAD_QUOTA_QUOTA_MESSAGES_H_
#define KNAPWEEDROAD_QUOTA_QUOTA_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// What a pool has and needs of one account.
struct PoolAccount {
  AccountId account;
  // Tokens that the pool holds.
  uint32_t held = 0;
  // Tokens that it has spent since its start.
  uint64_t spent_total = 0;
  // Tokens that it would like to hold, and requests that wait for one now.
  uint32_t wanted = 0;
  uint32_t waiting = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->account, this->held, this->spent_total, this->wanted,
            this->waiting);
  }
};

// A pool has one call at a time in progress. It ignores the reply to a call
// that it has given up on, so the tokens granted in it were never held.
struct RefillCall {
  HostId host;
  // Drawn at random at the start of the pool's process.
  uint64_t incarnation = 0;
  // Rises with each call of an incarnation.
  uint64_t sequence = 0;
  std::vector<PoolAccount> accounts;
  // Another control host passes the call on, as the pool can't reach the leader
  // itself. Such a call isn't passed on again.
  bool is_forwarded = false;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->incarnation, this->sequence, this->accounts,
            this->is_forwarded);
  }
};

struct RefillGrant {
  AccountId account;
  // Tokens granted, of which as many as possible are for waiting requests.
  uint32_t granted = 0;
  // If fewer than the waiting requests need: when the first of the others
  // should try again, and the time between one of them and the next.
  uint32_t retry_after_ms = 0;
  uint32_t retry_step_ms = 0;
  // If the leader has no token left: when it expects the next one.
  uint32_t empty_ms = 0;
  // The tokens held in the call may be used for a token lifetime after it.
  bool is_renewed = false;
  // Tokens that the pool should hold at most, so that others get their share.
  uint32_t stock_limit = UINT32_MAX;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->account, this->granted, this->retry_after_ms,
            this->retry_step_ms, this->empty_ms, this->is_renewed,
            this->stock_limit);
  }
};

struct RefillReply {
  // False if the host may not grant now; `grants` is then empty.
  bool is_leader = false;
  // The term for which the host was chosen; zero if it wasn't.
  uint64_t term = 0;
  std::vector<RefillGrant> grants;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->is_leader, this->term, this->grants);
  }
};

// Requests of one account that an entry host asks permits for.
struct PermitRequest {
  AccountId account;
  uint32_t count = 0;
  // Permits given back because their requests were rejected without having
  // been sent.
  uint32_t returned = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->account, this->count, this->returned);
  }
};

struct PermitCall {
  HostId sender;
  std::vector<PermitRequest> requests;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->sender, this->requests);
  }
};

// In the order of PermitCall::requests.
struct PermitGrant {
  uint32_t granted = 0;
  // The QuotaOutcome of the requests that got no permit, and when the next one
  // is expected.
  uint8_t outcome = 0;
  uint32_t retry_after_ms = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->granted, this->outcome, this->retry_after_ms);
  }
};

struct PermitReply {
  std::vector<PermitGrant> grants;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->grants);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_QUOTA_MESSAGES_H_
