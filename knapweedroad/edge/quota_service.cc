#include "knapweedroad/edge/quota_service.h"

#include <algorithm>
#include <random>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/quorum_confirmer.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/quota/quota_messages.h"
#include "knapweedroad/registry/agreed_state.h"
#include "knapweedroad/routing/routing_config.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// An entry host gives up after 250 ms, so a later reply is of no use.
constexpr Duration kPermitWait = milliseconds(200);
constexpr Duration kRefillTimeout = milliseconds(300);
// Less than that, so that the pool hears of a failure.
constexpr Duration kForwardTimeout = milliseconds(200);
// How long a pool goes by another host after the leader didn't answer it.
constexpr Duration kRelayTime = milliseconds(2000);
// How often the pool is asked whether its next call is due while no request
// waits.
constexpr Duration kPoolPoll = milliseconds(50);
constexpr Duration kUnknownRetryAfter = milliseconds(500);
// Bounds the work that one call can cause.
constexpr uint32_t kMaxPermitsPerCall = 10'000;

uint64_t RandomNumber() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

}  // namespace

// A call of an entry host that is being answered.
struct QuotaService::PendingCall {
  explicit PendingCall(Runtime& runtime) : decided(runtime) {}

  PermitReply reply;
  // Of each grant: requests that are over quota.
  std::vector<uint32_t> over_quota;
  // Requests that the pool has not decided on yet.
  size_t undecided = 0;
  // All requests were given to the pool.
  bool is_asked = false;
  bool is_over = false;
  TimedEvent decided;
};

QuotaService::QuotaService(Runtime& runtime, QuotaServiceOptions given)
    : runtime(runtime),
      options(std::move(given)),
      pool({.host = this->options.self, .incarnation = RandomNumber()}),
      leadership(
          {.self = this->options.self, .tolerance = this->options.tolerance}),
      election({.self = this->options.self}),
      wake(runtime) {}

QuotaService::~QuotaService() = default;

void QuotaService::Start() {
  this->runtime.Spawn([self = this->shared_from_this()] { self->Run(); });
}

void QuotaService::Stop() {
  this->is_stopped = true;
  this->wake.Set();
}

void QuotaService::Run() {
  while (!this->is_stopped) {
    const bool is_wanted =
        !this->leadership.accounts().empty() || this->pool.waiting_count() > 0;
    if (is_wanted && this->pool.IsCallDue(this->options.boot_now())) {
      this->CallLeader();
      this->ReturnLate();
    } else {
      this->wake.WaitUntil(Runtime::Now() + kPoolPoll);
    }
  }
}

// Names a host that may reach the leader while this one can't. Without it,
// hosts between which only a link is cut would replace each other as leaders.
std::optional<HostId> QuotaService::Relay(const HostId& leader) const {
  std::vector<HostId> live = this->options.live_control_hosts();
  const bool is_reachable =
      std::ranges::find(live, leader) != live.end() &&
      (!this->direct_failure ||
       Runtime::Now() - *this->direct_failure >= kRelayTime);
  std::erase_if(live, [&](const HostId& host) {
    return host == leader || host == this->options.self;
  });
  if (is_reachable || live.empty()) {
    return std::nullopt;
  }
  std::ranges::sort(live);
  return live[this->relay_number % live.size()];
}

RefillReply QuotaService::AskLeader(const RefillCall& call,
                                    LeaderAnswer& answer) {
  answer = LeaderAnswer::kNone;
  const HostId host = this->leadership.named().host;
  if (host.empty()) {
    return {};
  }
  if (host == this->options.self) {
    RefillReply reply = this->Answer(call);
    answer = reply.is_leader ? LeaderAnswer::kGrants : LeaderAnswer::kNotLeader;
    return reply;
  }
  const std::optional<HostId> relay = this->Relay(host);
  auto reply = this->options.call(relay.value_or(host), call,
                                  Runtime::Now() + kRefillTimeout);
  // A relay that doesn't reach the leader answers without a term.
  const bool is_answered =
      reply && (!relay || reply->is_leader || reply->term > 0);
  if (!is_answered) {
    if (relay) {
      answer = reply ? LeaderAnswer::kUnreachable : LeaderAnswer::kNone;
      ++this->relay_number;
    } else {
      this->direct_failure = Runtime::Now();
    }
    return {};
  }
  answer = reply->is_leader ? LeaderAnswer::kGrants : LeaderAnswer::kNotLeader;
  return *std::move(reply);
}

void QuotaService::CallLeader() {
  const RefillCall call = this->pool.MakeCall(this->options.boot_now());
  const QuotaLeaderRecord asked = this->leadership.named();
  const TimePoint began = Runtime::Now();
  LeaderAnswer answer = LeaderAnswer::kNone;
  const RefillReply reply = this->AskLeader(call, answer);
  if (this->is_stopped) {
    return;
  }
  ++this->totals.refill_calls;
  this->election.OnCallEnded(asked, answer, began, Runtime::Now());
  if (answer == LeaderAnswer::kGrants) {
    this->pool.OnReply(call.sequence, reply, this->options.boot_now());
    return;
  }
  ++this->totals.refill_calls_failed;
  this->pool.OnCallFailed(call.sequence, this->options.boot_now());
}

void QuotaService::ReturnLate() {
  for (const AccountId& account : std::exchange(this->late_tokens, {})) {
    this->pool.Return(account, this->options.boot_now());
  }
}

void QuotaService::Tick() {
  if (this->is_stopped) {
    return;
  }
  this->NoteLease();
  const auto next =
      this->election.Propose({.is_needed = !this->leadership.accounts().empty(),
                              .has_quorum = this->options.has_quorum(),
                              .live = this->options.live_control_hosts()},
                             Runtime::Now());
  if (!next) {
    return;
  }
  ++this->totals.elections;
  const QuotaLeaderRecord seen = *this->election.leader();
  LogLine("quota_leader_proposed")
      .Add("host", next->host)
      .Add("term", next->term)
      .Add("replaces", seen.host.empty() ? HostId("none") : seen.host)
      .Info();
  this->runtime.Spawn([self = this->shared_from_this(), seen, next] {
    if (self->is_stopped) {
      return;
    }
    self->options.replace_leader(seen, *next);
    self->election.OnProposalEnded(Runtime::Now());
  });
}

void QuotaService::SetAccounts(const AgreedState& state) {
  if (state.number == this->number || this->options.read_routing == nullptr) {
    return;
  }
  this->number = state.number;
  const auto routing = this->options.read_routing(state.text);
  if (!routing) {
    LogLine("configuration_unreadable")
        .Add("number", state.number)
        .Add("detail", routing.error())
        .Error();
    return;
  }
  this->leadership.SetAccounts(
      routing->accounts.value_or(std::vector<ClientAccount>()),
      this->options.boot_now());
  const size_t limited = this->leadership.accounts().size();
  if (std::exchange(this->limited_before, limited) + limited > 0) {
    LogLine("quota_accounts")
        .Add("number", state.number)
        .Add("limited", limited)
        .Info();
  }
}

void QuotaService::OnAgreed(uint64_t version, const AgreedState& state) {
  if (version <= this->agreed_version) {
    return;
  }
  this->agreed_version = version;
  this->SetAccounts(state);
  if (this->leadership.named() != state.quota_leader) {
    this->direct_failure.reset();
    ++this->totals.leader_changes;
    LogLine("quota_leader")
        .Add("host", state.quota_leader.host)
        .Add("term", state.quota_leader.term)
        .Add("agreed_version", version)
        .Info();
  }
  this->election.OnAgreed(state.quota_leader, Runtime::Now());
  this->leadership.OnAgreed(version, state.quota_leader,
                            this->options.boot_now());
  this->wake.Set();
}

void QuotaService::OnConfirmed(const QuorumConfirmation& confirmation) {
  this->leadership.OnConfirmed(confirmation.version, confirmation.began);
  this->NoteLease();
}

void QuotaService::NoteLease() {
  const bool is_held = this->leadership.IsLeaseHeld(this->options.boot_now());
  if (std::exchange(this->was_lease_held, is_held) == is_held) {
    return;
  }
  LogLine(is_held ? "quota_lease_held" : "quota_lease_lost")
      .Add("host", this->options.self)
      .Add("named", this->leadership.named().host)
      .Add("term", this->leadership.named().term)
      .Add("confirmation_age_ms", this->ConfirmationAgeMs())
      .Add("accounts", this->leadership.accounts().size())
      .Info();
}

RefillReply QuotaService::Forward(RefillCall call) {
  const HostId host = this->leadership.named().host;
  call.is_forwarded = true;
  ++this->totals.refill_calls_forwarded;
  return this->options.call(host, call, Runtime::Now() + kForwardTimeout)
      .value_or(RefillReply());
}

RefillReply QuotaService::Answer(const RefillCall& call) {
  if (this->is_stopped) {
    return {};
  }
  const HostId& named = this->leadership.named().host;
  const bool is_forwardable = !call.is_forwarded && !named.empty() &&
                              named != this->options.self && named != call.host;
  return is_forwardable
             ? this->Forward(call)
             : this->leadership.Answer(call, this->options.boot_now());
}

void QuotaService::Ask(const std::shared_ptr<PendingCall>& pending,
                       size_t index,
                       const AccountId& account,
                       BootTime now) {
  ++pending->undecided;
  this->pool.Take(
      account, now,
      [this, self = this->weak_from_this(), pending, index,
       account](const QuotaDecision& decision) {
        if (self.expired()) {
          return;
        }
        const bool is_granted = decision.outcome == QuotaOutcome::kGranted;
        if (pending->is_over) {
          if (is_granted) {
            this->late_tokens.push_back(account);
          }
          return;
        }
        PermitGrant& grant = pending->reply.grants[index];
        if (is_granted) {
          ++grant.granted;
        } else {
          pending->over_quota[index] +=
              decision.outcome == QuotaOutcome::kOverQuota ? 1 : 0;
          grant.retry_after_ms = std::max<uint32_t>(
              grant.retry_after_ms,
              static_cast<uint32_t>(
                  std::chrono::ceil<milliseconds>(decision.retry_after)
                      .count()));
        }
        if (--pending->undecided == 0 && pending->is_asked) {
          pending->decided.Set();
        }
      });
}

// One outcome stands for all requests without a permit. If only some of them
// are known to be over quota, the entry host asks another pool for the rest.
void QuotaService::Conclude(uint32_t asked,
                            uint32_t over_quota,
                            PermitGrant& grant) {
  const uint32_t refused = asked - std::min(asked, grant.granted);
  const bool is_over_quota = refused > 0 && over_quota == refused;
  grant.outcome = static_cast<uint8_t>(
      refused == 0 ? QuotaOutcome::kGranted
                   : (is_over_quota ? QuotaOutcome::kOverQuota
                                    : QuotaOutcome::kUnknown));
  this->totals.admitted += grant.granted;
  (is_over_quota ? this->totals.over_quota : this->totals.unknown) += refused;
  if (refused > 0 && grant.retry_after_ms == 0) {
    grant.retry_after_ms =
        static_cast<uint32_t>(kUnknownRetryAfter / milliseconds(1));
  }
}

PermitReply QuotaService::Answer(const PermitCall& call) {
  const TimePoint began = Runtime::Now();
  const BootTime now = this->options.boot_now();
  const auto pending = std::make_shared<PendingCall>(this->runtime);
  pending->reply.grants.resize(call.requests.size());
  pending->over_quota.resize(call.requests.size());
  uint32_t left = kMaxPermitsPerCall;
  for (size_t i = 0; i < call.requests.size(); ++i) {
    const PermitRequest& request = call.requests[i];
    for (uint32_t n = std::min(request.returned, left); n > 0; --n, --left) {
      this->pool.Return(request.account, now);
      ++this->totals.returned;
    }
  }
  for (size_t i = 0; i < call.requests.size() && !this->is_stopped; ++i) {
    const PermitRequest& request = call.requests[i];
    for (uint32_t n = std::min(request.count, left); n > 0; --n, --left) {
      this->Ask(pending, i, request.account, now);
    }
  }
  pending->is_asked = true;
  if (pending->undecided > 0) {
    this->wake.Set();
    pending->decided.WaitUntil(began + kPermitWait);
  }
  pending->is_over = true;
  for (size_t i = 0; i < call.requests.size(); ++i) {
    this->Conclude(call.requests[i].count, pending->over_quota[i],
                   pending->reply.grants[i]);
  }
  ++this->totals.permit_calls;
  this->totals.permit_call_time += Runtime::Now() - began;
  return std::move(pending->reply);
}

}  // namespace knapweedroad
