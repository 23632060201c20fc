// The quotas at a control host: its token pool, which entry hosts ask for
// permits, and the token buckets while it is the quota leader.
//
//   auto quota = std::make_shared<QuotaService>(runtime, options);
//   quota->Start();
//   PermitReply reply = quota->Answer(permit_call);   // blocks the fiber

#ifndef KNAPWEEDROAD_EDGE_QUOTA_SERVICE_H_
#define KNAPWEEDROAD_EDGE_QUOTA_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/edge/routing_reader.h"
#include "knapweedroad/net/timed_event.h"
#include "knapweedroad/quota/leader_election.h"
#include "knapweedroad/quota/quota_leadership.h"
#include "knapweedroad/quota/quota_tolerance.h"
#include "knapweedroad/quota/token_pool.h"

namespace knapweedroad {

class Runtime;
struct AgreedState;
struct PermitCall;
struct PermitGrant;
struct PermitReply;
struct QuorumConfirmation;
struct RefillCall;
struct RefillReply;

struct QuotaServiceOptions {
  HostId self;
  QuotaTolerance tolerance;
  // Reads the agreed configuration. Unset: no account has a limit.
  RoutingReader read_routing;
  // The control hosts that answer this one, itself among them.
  std::function<std::vector<HostId>()> live_control_hosts;
  std::function<bool()> has_quorum;
  // Calls another control host. Blocks the calling fiber until the reply or the
  // deadline; empty if there was none.
  std::function<std::optional<RefillReply>(const HostId& host,
                                           const RefillCall& call,
                                           TimePoint deadline)>
      call;
  // Agrees on `next` as the leader unless another one than `seen` is agreed on
  // by now. Blocks the calling fiber.
  std::function<void(const QuotaLeaderRecord& seen,
                     const QuotaLeaderRecord& next)>
      replace_leader;
  std::function<BootTime()> boot_now = BootClock::now;
};

struct QuotaServiceCounts {
  uint64_t admitted = 0;
  uint64_t over_quota = 0;
  uint64_t unknown = 0;
  uint64_t returned = 0;
  uint64_t refill_calls = 0;
  uint64_t refill_calls_failed = 0;
  // Of the calls of other pools, those passed on to the leader.
  uint64_t refill_calls_forwarded = 0;
  // Proposals of this host.
  uint64_t elections = 0;
  // Leaders that this host has seen agreed on.
  uint64_t leader_changes = 0;
  uint64_t permit_calls = 0;
  // The time in which they were answered, all together.
  Duration permit_call_time{};
};

class QuotaService : public std::enable_shared_from_this<QuotaService> {
 public:
  QuotaService(Runtime& runtime, QuotaServiceOptions options);
  ~QuotaService();

  // Begins to call the leader, in a fiber.
  void Start();
  // After this no hook is called.
  void Stop();
  // Every 100 ms.
  void Tick();

  // This host has learned of a newer agreed state.
  void OnAgreed(uint64_t version, const AgreedState& state);
  // A quorum has confirmed which version was the newest.
  void OnConfirmed(const QuorumConfirmation& confirmation);
  // Whether this host's lease depends on confirmations now.
  bool NeedsConfirmations() const {
    return this->leadership.NeedsConfirmations();
  }

  // Blocks the calling fiber until the pool has decided on all requests, at
  // most for kPermitWait; the undecided are then told that nothing is known.
  PermitReply Answer(const PermitCall& call);
  // Answers a pool; not as the leader while the lease isn't held. Passes the
  // call of a pool that can't reach the leader on to it, which blocks the
  // calling fiber.
  RefillReply Answer(const RefillCall& call);

  // Tokens in this host's pool.
  uint64_t HeldTokens() const {
    return this->pool.HeldTokens(this->options.boot_now());
  }
  const QuotaServiceCounts& counts() const { return this->totals; }
  // In Prometheus' text format.
  std::string PrintMetrics() const;

 private:
  struct PendingCall;

  void Run();
  void CallLeader();
  RefillReply AskLeader(const RefillCall& call, LeaderAnswer& answer);
  std::optional<HostId> Relay(const HostId& leader) const;
  RefillReply Forward(RefillCall call);
  void NoteLease();
  void SetAccounts(const AgreedState& state);
  void Ask(const std::shared_ptr<PendingCall>& pending,
           size_t index,
           const AccountId& account,
           BootTime now);
  void Conclude(uint32_t asked, uint32_t over_quota, PermitGrant& grant);
  void ReturnLate();
  int64_t ConfirmationAgeMs() const;

  Runtime& runtime;
  QuotaServiceOptions options;
  TokenPool pool;
  QuotaLeadership leadership;
  LeaderElection election;
  bool was_lease_held = false;
  uint64_t agreed_version = 0;
  // Of the newest configuration that was read, or could not be.
  uint64_t number = 0;
  // How many accounts had a limit in the configuration before.
  size_t limited_before = 0;
  // When the leader last failed to answer a direct call.
  std::optional<TimePoint> direct_failure;
  // Rises when a relay fails, so that the next one is tried.
  size_t relay_number = 0;
  // Tokens granted to requests whose call had been answered before.
  std::vector<AccountId> late_tokens;
  TimedEvent wake;
  QuotaServiceCounts totals;
  bool is_stopped = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_QUOTA_SERVICE_H_
