#include "knapweedroad/quota/quota_simulation.h"

#include <string>

#include "knapweedroad/quota/quota_messages.h"

namespace knapweedroad {
namespace {

// How often an owner asks whether a call is due.
constexpr Duration kTick = std::chrono::milliseconds(10);

}  // namespace

QuotaSimulation::QuotaSimulation(QuotaSimulationOptions options)
    : options(std::move(options)), random(this->options.seed) {
  this->pools.resize(this->options.pools);
  for (size_t i = 0; i < this->pools.size(); ++i) {
    this->pools[i].clock = this->AnyClock();
    this->RestartPool(i);
    this->CallIfDue(i);
  }
}

QuotaSimulation::Clock QuotaSimulation::AnyClock() {
  std::uniform_real_distribution<double> rate(-this->options.drift / 2,
                                              this->options.drift / 2);
  std::uniform_int_distribution<int> offset(100, 100'000);
  return {.offset = std::chrono::seconds(offset(this->random)),
          .rate = 1 + rate(this->random)};
}

BootTime QuotaSimulation::Read(const Clock& clock, Duration time) {
  return BootTime(clock.offset +
                  std::chrono::duration_cast<Duration>(time * clock.rate));
}

void QuotaSimulation::At(Duration time, std::function<void()> action) {
  this->events.emplace(time, std::move(action));
}

void QuotaSimulation::StartLeader() {
  this->leader.emplace(
      QuotaLeaderOptions{.tolerance = this->options.tolerance});
  this->leader_clock = this->AnyClock();
  this->leader->SetAccounts(this->options.accounts,
                            Read(this->leader_clock, this->time));
  this->has_answered = false;
}

void QuotaSimulation::SetAccounts(std::vector<ClientAccount> accounts) {
  this->options.accounts = std::move(accounts);
  if (this->leader) {
    this->leader->SetAccounts(this->options.accounts,
                              Read(this->leader_clock, this->time));
  }
}

void QuotaSimulation::RestartPool(size_t pool) {
  Pool& restarted = this->pools[pool];
  restarted.incarnation = this->random();
  restarted.tokens = std::make_unique<TokenPool>(
      TokenPoolOptions{.host = HostId(std::to_string(pool)),
                       .incarnation = restarted.incarnation,
                       .token_lifetime = this->options.pool_token_lifetime});
}

void QuotaSimulation::SetLinked(size_t pool, bool is_linked) {
  this->pools[pool].is_linked = is_linked;
}

void QuotaSimulation::Send(size_t pool, const std::function<void()>& deliver) {
  std::uniform_real_distribution<double> share(0, 1);
  const int copies = share(this->random) < this->faults.repeated ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    ++this->message_count;
    if (!this->pools[pool].is_linked ||
        share(this->random) < this->faults.lost) {
      continue;
    }
    Duration delay = this->options.delay;
    if (this->faults.most_delay > Duration(0) && share(this->random) < 0.5) {
      delay += std::chrono::duration_cast<Duration>(this->faults.most_delay *
                                                    share(this->random));
    }
    this->At(this->time + delay, deliver);
  }
}

void QuotaSimulation::AnswerCall(size_t index, const RefillCall& call) {
  if (!this->leader) {
    return;
  }
  if (!this->has_answered) {
    this->has_answered = true;
    this->leader_starts.push_back(this->time);
  }
  const RefillReply reply =
      this->leader->Answer(call, Read(this->leader_clock, this->time));
  this->Send(index, [this, index, incarnation = call.incarnation,
                     sequence = call.sequence, reply] {
    Pool& pool = this->pools[index];
    if (pool.incarnation == incarnation) {
      pool.tokens->OnReply(sequence, reply, Read(pool.clock, this->time));
      this->Call(index);
    }
  });
}

void QuotaSimulation::Call(size_t index) {
  Pool& pool = this->pools[index];
  const BootTime now = Read(pool.clock, this->time);
  if (!pool.tokens->IsCallDue(now)) {
    return;
  }
  const RefillCall call = pool.tokens->MakeCall(now);
  this->Send(index, [this, index, call] { this->AnswerCall(index, call); });
  this->At(
      this->time + this->options.call_timeout,
      [this, index, incarnation = pool.incarnation, sequence = call.sequence] {
        Pool& caller = this->pools[index];
        if (caller.incarnation == incarnation) {
          caller.tokens->OnCallFailed(sequence, Read(caller.clock, this->time));
        }
      });
}

void QuotaSimulation::CallIfDue(size_t index) {
  this->Call(index);
  this->At(this->time + kTick, [this, index] { this->CallIfDue(index); });
}

void QuotaSimulation::Request(const AccountId& account, size_t pool) {
  Pool& asked = this->pools[pool];
  asked.tokens->Take(
      account, Read(asked.clock, this->time),
      [this, account, pool](const QuotaDecision& decision) {
        if (decision.outcome == QuotaOutcome::kGranted) {
          this->spent_tokens[account].push_back(
              {.time = this->time, .pool = pool});
        } else if (decision.outcome == QuotaOutcome::kOverQuota) {
          ++this->rejected_count;
        } else {
          ++this->unknown_count;
        }
      });
  this->Call(pool);
}

void QuotaSimulation::Return(const AccountId& account, size_t pool) {
  std::vector<SpentToken>& spent = this->spent_tokens[account];
  for (size_t i = spent.size(); i > 0; --i) {
    if (spent[i - 1].pool != pool) {
      continue;
    }
    const size_t count = spent.size();
    const uint64_t held_before = this->held(pool);
    Pool& holder = this->pools[pool];
    holder.tokens->Return(account, Read(holder.clock, this->time));
    // It had an effect if it is held again, or was spent on a waiting request.
    if (this->held(pool) > held_before || spent.size() > count) {
      spent.erase(spent.begin() + static_cast<ptrdiff_t>(i - 1));
    }
    return;
  }
}

void QuotaSimulation::Run(Duration time) {
  const Duration until = this->time + time;
  while (!this->events.empty() && this->events.begin()->first <= until) {
    auto event = this->events.extract(this->events.begin());
    this->time = event.key();
    event.mapped()();
  }
  this->time = until;
}

}  // namespace knapweedroad
