#include "knapweedroad/edge/quota_client.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/net/timed_event.h"
#include "knapweedroad/quota/permit_batch.h"
#include "knapweedroad/quota/quota_decision.h"
#include "knapweedroad/quota/quota_messages.h"
#include "knapweedroad/quota/quota_tolerance.h"

namespace knapweedroad {
namespace {

// Permits to be given back wait this long for a call with questions.
constexpr Duration kReturnWait = std::chrono::milliseconds(50);
constexpr Duration kReturnTimeout = std::chrono::milliseconds(250);
// Between two log lines about requests whose quota is unknown.
constexpr Duration kUnknownLogInterval = std::chrono::seconds(1);

// The questions of one moment and the calls about them.
struct RunningBatch {
  RunningBatch(Runtime& runtime, PermitBatch batch)
      : batch(std::move(batch)), changed(runtime) {}

  PermitBatch batch;
  TimedEvent changed;
};

}  // namespace

struct QuotaClient::State : std::enable_shared_from_this<QuotaClient::State> {
  State(Runtime& runtime, QuotaClientOptions options)
      : runtime(runtime), options(std::move(options)) {}

  // A permit that the control host may take back until `expires`.
  struct ReturnedPermit {
    AccountId account;
    BootTime expires;
  };

  void Send(std::vector<PermitQuestion> questions);
  void Call(const std::shared_ptr<RunningBatch>& running, const HostId& host);
  void OnReply(RunningBatch& running,
               size_t index,
               const HostId& host,
               const PermitReply& reply);
  void OnDecision(const AccountId& account,
                  const QuotaDecision& decision,
                  TimePoint asked);
  void AddReturn(const HostId& host, const AccountId& account, uint32_t count);
  void AttachReturns(const HostId& host, PermitCall& call);
  void SendReturns();

  Runtime& runtime;
  QuotaClientOptions options;
  std::vector<PermitQuestion> queued;
  bool is_sending_soon = false;
  // Which control host granted the newest permit of an account. A permit that
  // comes back must not be added to the tokens of another pool.
  std::unordered_map<AccountId, HostId> granted_by;
  // While a reply is read.
  HostId replying_host;
  std::map<HostId, std::vector<ReturnedPermit>> returns;
  bool is_returning_soon = false;
  QuotaClientCounts totals;
  TimePoint unknown_logged;
  uint64_t unknown_unlogged = 0;
  bool is_stopped = false;
};

void QuotaClient::State::OnDecision(const AccountId& account,
                                    const QuotaDecision& decision,
                                    TimePoint asked) {
  const TimePoint now = Runtime::Now();
  this->totals.decision_time += now - asked;
  switch (decision.outcome) {
    case QuotaOutcome::kGranted:
      ++this->totals.admitted;
      this->granted_by[account] = this->replying_host;
      return;
    case QuotaOutcome::kOverQuota:
      ++this->totals.over_quota;
      return;
    case QuotaOutcome::kUnknown:
      ++this->totals.unknown;
      ++this->unknown_unlogged;
      break;
  }
  if (now - this->unknown_logged >= kUnknownLogInterval) {
    this->unknown_logged = now;
    LogLine("quota_unknown")
        .Add("requests", std::exchange(this->unknown_unlogged, 0))
        .Add("responsive_hosts", this->options.responsive_hosts().size())
        .Warning();
  }
}

void QuotaClient::State::AddReturn(const HostId& host,
                                   const AccountId& account,
                                   uint32_t count) {
  std::vector<ReturnedPermit>& permits = this->returns[host];
  permits.insert(permits.end(), count,
                 {.account = account,
                  .expires = this->options.boot_now() + kPermitLifetime});
  this->totals.returned += count;
  if (std::exchange(this->is_returning_soon, true)) {
    return;
  }
  this->runtime.Spawn([self = this->shared_from_this()] {
    Runtime::SleepFor(kReturnWait);
    self->is_returning_soon = false;
    if (!self->is_stopped) {
      self->SendReturns();
    }
  });
}

void QuotaClient::State::AttachReturns(const HostId& host, PermitCall& call) {
  const auto found = this->returns.find(host);
  if (found == this->returns.end()) {
    return;
  }
  const BootTime now = this->options.boot_now();
  for (const ReturnedPermit& permit : found->second) {
    if (now >= permit.expires) {
      continue;
    }
    auto request = std::ranges::find(call.requests, permit.account,
                                     &PermitRequest::account);
    if (request == call.requests.end()) {
      call.requests.push_back({.account = permit.account});
      request = std::prev(call.requests.end());
    }
    ++request->returned;
  }
  this->returns.erase(found);
}

void QuotaClient::State::SendReturns() {
  std::vector<std::pair<HostId, PermitCall>> calls;
  while (!this->returns.empty()) {
    const HostId host = this->returns.begin()->first;
    PermitCall call{.sender = this->options.self};
    this->AttachReturns(host, call);
    if (!call.requests.empty()) {
      calls.emplace_back(host, std::move(call));
    }
  }
  for (auto& [host, call] : calls) {
    ++this->totals.calls;
    this->runtime.Spawn(
        [self = this->shared_from_this(), host = host, call = std::move(call)] {
          if (!self->is_stopped) {
            self->options.call(host, call, Runtime::Now() + kReturnTimeout);
          }
        });
  }
}

void QuotaClient::State::OnReply(RunningBatch& running,
                                 size_t index,
                                 const HostId& host,
                                 const PermitReply& reply) {
  const size_t discarded = running.batch.discarded();
  this->replying_host = host;
  const std::vector<SurplusPermits> surplus =
      running.batch.OnReply(index, reply, this->options.boot_now());
  this->totals.discarded += running.batch.discarded() - discarded;
  for (const SurplusPermits& permits : surplus) {
    this->AddReturn(host, permits.account, permits.count);
  }
}

void QuotaClient::State::Call(const std::shared_ptr<RunningBatch>& running,
                              const HostId& host) {
  const size_t index = running->batch.call_count();
  PermitCall call = running->batch.MakeCall(host, this->options.boot_now());
  this->AttachReturns(host, call);
  ++this->totals.calls;
  this->totals.retries += index > 0 ? 1 : 0;
  this->runtime.Spawn([self = this->shared_from_this(), running, host, index,
                       call = std::move(call)] {
    if (self->is_stopped) {
      return;
    }
    const std::optional<PermitReply> reply =
        self->options.call(host, call, running->batch.deadline());
    if (self->is_stopped) {
      return;
    }
    if (reply) {
      self->OnReply(*running, index, host, *reply);
    } else {
      running->batch.OnCallFailed(index);
    }
    running->changed.Set();
  });
}

void QuotaClient::State::Send(std::vector<PermitQuestion> questions) {
  const auto running = std::make_shared<RunningBatch>(
      this->runtime, PermitBatch({.self = this->options.self},
                                 std::move(questions), Runtime::Now()));
  while (!running->batch.is_decided()) {
    const TimePoint now = Runtime::Now();
    const auto host =
        running->batch.NextHost(this->options.responsive_hosts(), now);
    if (host) {
      this->Call(running, *host);
      continue;
    }
    if (now >= running->batch.deadline() || !running->batch.is_calling()) {
      running->batch.GiveUp();
      return;
    }
    running->changed.WaitUntil(running->batch.NextWake(now));
    if (this->is_stopped) {
      return;
    }
  }
}

QuotaClient::QuotaClient(Runtime& runtime, QuotaClientOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

QuotaClient::~QuotaClient() {
  this->state->is_stopped = true;
}

void QuotaClient::Take(const AccountId& account,
                       std::function<void(const QuotaDecision&)> on_decision) {
  State& self = *this->state;
  self.queued.push_back({.account = account,
                         .on_decision = [&self, account, asked = Runtime::Now(),
                                         on_decision = std::move(on_decision)](
                                            const QuotaDecision& decision) {
                           self.OnDecision(account, decision, asked);
                           on_decision(decision);
                         }});
  if (std::exchange(self.is_sending_soon, true)) {
    return;
  }
  self.runtime.Spawn([state = this->state] {
    state->is_sending_soon = false;
    if (!state->is_stopped) {
      state->Send(std::exchange(state->queued, {}));
    }
  });
}

void QuotaClient::Return(const AccountId& account) {
  const auto granted = this->state->granted_by.find(account);
  if (granted != this->state->granted_by.end()) {
    this->state->AddReturn(granted->second, account, 1);
  }
}

const QuotaClientCounts& QuotaClient::counts() const {
  return this->state->totals;
}

}  // namespace knapweedroad
