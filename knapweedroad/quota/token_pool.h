// The tokens that a control host holds for the requests of the entry hosts that
// ask it. It gets them from the quota leader.
//
//   TokenPool pool({.host = self, .incarnation = random});
//   pool.Take(account, now, [](const QuotaDecision& decision) { ... });
//   if (pool.IsCallDue(now)) {
//     RefillCall call = pool.MakeCall(now);
//     ...
//     pool.OnReply(call.sequence, reply, now);   // or OnCallFailed()
//   }

#ifndef KNAPWEEDROAD_QUOTA_TOKEN_POOL_H_
#define KNAPWEEDROAD_QUOTA_TOKEN_POOL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/quota/quota_decision.h"
#include "knapweedroad/quota/token_batches.h"

namespace knapweedroad {

struct PoolAccount;
struct RefillCall;
struct RefillGrant;
struct RefillReply;

struct TokenPoolOptions {
  HostId host;
  // Drawn at random at the start of the process.
  uint64_t incarnation = 0;
  // As QuotaLeaderOptions::token_lifetime.
  Duration token_lifetime = std::chrono::seconds(4);
  // The pool asks for its demand over this time.
  Duration stock_time = std::chrono::seconds(3);
  // Between two calls while no request waits.
  Duration call_interval = std::chrono::milliseconds(250);
  // What a request is told that the leader could not be asked for.
  Duration unknown_retry_after = std::chrono::milliseconds(500);
};

// Never spends a token after its lifetime, counted from when the call was made
// in which it was granted or renewed. Not thread-safe; the callbacks may call
// Take().
class TokenPool {
 public:
  using OnDecision = std::function<void(const QuotaDecision&)>;

  explicit TokenPool(TokenPoolOptions options);

  // Decides on one request. Calls `on_decision` exactly once: before it returns
  // if a token is held or the leader has just reported that there is none;
  // otherwise at the latest after the reply to the next call, or the failure of
  // a call.
  void Take(const AccountId& account, BootTime now, OnDecision on_decision);

  // Takes back a token of a request that was rejected without having been sent.
  // Has no effect if the token has already been reported as spent, or has
  // expired.
  void Return(const AccountId& account, BootTime now);

  // Whether the owner should call the leader now: no call is in progress, and a
  // request waits or the interval has passed.
  bool IsCallDue(BootTime now) const;
  // Begins a call. Once per interval it reports all accounts, otherwise those
  // with waiting requests. Accounts with neither tokens nor recent demand are
  // left out, as the leader has nothing outstanding for them.
  RefillCall MakeCall(BootTime now);
  // Ends the call with this sequence number; a later reply to it is ignored.
  // A reply of a host that isn't the leader counts as a failure.
  void OnReply(uint64_t sequence, const RefillReply& reply, BootTime now);
  // All waiting requests are decided as kUnknown.
  void OnCallFailed(uint64_t sequence, BootTime now);

  size_t waiting_count() const { return this->waiting; }
  // Tokens held for all accounts.
  uint64_t HeldTokens(BootTime now) const;

 private:
  struct Stock {
    TokenBatches tokens;
    uint64_t spent_total = 0;
    // Of `spent_total`, what the leader may have been told.
    uint64_t spent_reported = 0;
    // When the first token expires that was spent since.
    BootTime spent_expires;
    // Requests per second, smoothed, as of `demand_at`.
    double demand = 0;
    BootTime demand_at;
    // Until then the leader is known to have no token.
    BootTime empty_until;
    // For the next request that is rejected, and as the leader told.
    BootTime next_retry;
    BootTime first_retry;
    Duration retry_step{};
    // Tokens to hold at most, as the leader told.
    uint64_t stock_limit = UINT32_MAX;
    // The leader may count tokens for this pool.
    bool is_reported = false;
    // In the call with this sequence number.
    uint64_t last_call = 0;
    uint64_t held_in_call = 0;
    size_t waiting_in_call = 0;
    std::deque<OnDecision> waiting;
  };
  // Decisions to be passed on once the state is consistent, as the callbacks
  // may call Take().
  using Decisions = std::vector<std::pair<OnDecision, QuotaDecision>>;

  static void NoteDemand(Stock& stock, double requests, BootTime now);
  static bool Spend(Stock& stock, BootTime now);
  static QuotaDecision Reject(Stock& stock, BootTime now);
  // Tokens that the stock should hold, as far as the leader has them.
  uint64_t Wanted(const Stock& stock) const;
  // Whether nothing is lost if the account is forgotten.
  static bool IsIdle(const Stock& stock);
  PoolAccount Report(const AccountId& account, Stock& stock, BootTime now);
  void Decide(Stock& stock,
              const QuotaDecision& decision,
              Decisions& decisions);
  void OnGrant(Stock& stock,
               const RefillGrant& grant,
               BootTime now,
               Decisions& decisions);
  void FailAll(Decisions& decisions);

  TokenPoolOptions options;
  std::unordered_map<AccountId, Stock> stocks;
  // Accounts to which requests waiting for a call belong. May contain accounts
  // whose requests have been decided meanwhile.
  std::vector<AccountId> waiting_accounts;
  size_t waiting = 0;
  uint64_t last_sequence = 0;
  std::optional<uint64_t> call_in_progress;
  // The accounts in the call in progress.
  std::vector<AccountId> called_accounts;
  BootTime call_made_at;
  std::optional<BootTime> reported_all_at;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_TOKEN_POOL_H_
