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

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/quota/quota_decision.h"

namespace knapweedroad {

struct RefillCall;
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
// in which it was granted. Not thread-safe; the callbacks may call Take().
class TokenPool {
 public:
  using OnDecision = std::function<void(const QuotaDecision&)>;

  explicit TokenPool(TokenPoolOptions options);

  // Decides on one request. Calls `on_decision` exactly once: before it returns
  // if a token is held or the leader has just reported that there is none;
  // otherwise after the next reply of the leader or the failure of a call.
  void Take(const AccountId& account, BootTime now, OnDecision on_decision);

  // Takes back a token of a request that was rejected without having been sent.
  // Has no effect if the token has already been reported as spent.
  void Return(const AccountId& account, BootTime now);

  // Whether the owner should call the leader now: no call is in progress, and a
  // request waits or the interval has passed.
  bool IsCallDue(BootTime now) const;
  // Begins a call. The accounts with neither tokens nor recent demand are left
  // out, as the leader has nothing outstanding for them.
  RefillCall MakeCall(BootTime now);
  // Ends the call with this sequence number; a later reply to it is ignored.
  void OnReply(uint64_t sequence, const RefillReply& reply, BootTime now);
  void OnCallFailed(uint64_t sequence, BootTime now);

  size_t waiting_count() const;
  // Tokens held for all accounts.
  uint64_t HeldTokens(BootTime now) const;

 private:
  struct Stock {
    uint64_t tokens = 0;
    BootTime expires;
    uint64_t spent_total = 0;
    // Of `spent_total`, what the leader was told.
    uint64_t spent_reported = 0;
    // Requests per second, smoothed, as of `demand_at`.
    double demand = 0;
    BootTime demand_at;
    // Until then the leader is known to have no token.
    BootTime empty_until;
    std::deque<OnDecision> waiting;
  };

  TokenPoolOptions options;
  std::unordered_map<AccountId, Stock> stocks;
  uint64_t last_sequence = 0;
  std::optional<uint64_t> call_in_progress;
  BootTime call_made_at;
  bool has_called = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_TOKEN_POOL_H_
