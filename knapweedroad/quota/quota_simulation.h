// Token pools and a quota leader in virtual time, for tests: clocks that drift,
// and calls that are lost, delayed or repeated.
//
//   QuotaSimulation simulation({.accounts = accounts});
//   simulation.StartLeader();
//   simulation.Request(account, 0);
//   simulation.Run(std::chrono::seconds(5));

#ifndef KNAPWEEDROAD_QUOTA_QUOTA_SIMULATION_H_
#define KNAPWEEDROAD_QUOTA_QUOTA_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/quota/quota_leader.h"
#include "knapweedroad/quota/quota_tolerance.h"
#include "knapweedroad/quota/token_pool.h"

namespace knapweedroad {

struct RefillCall;
struct RefillReply;

struct QuotaSimulationOptions {
  std::vector<ClientAccount> accounts;
  QuotaTolerance tolerance{.overshoot = 0.1, .slack = 20};
  size_t pools = 6;
  // Of a message, one way.
  Duration delay = std::chrono::milliseconds(3);
  // When a pool gives up a call.
  Duration call_timeout = std::chrono::milliseconds(300);
  // Longer than that of the leader in a pool that counts from the reply.
  Duration pool_token_lifetime = std::chrono::seconds(4);
  // Clock rates differ by at most this share.
  double drift = 0;
  uint64_t seed = 1;
};

class QuotaSimulation {
 public:
  struct SpentToken {
    Duration time{};
    size_t pool = 0;
  };
  struct Faults {
    // Shares of the messages, from 0 to 1.
    double lost = 0;
    double repeated = 0;
    // Of some messages, in addition to the usual delay.
    Duration most_delay{};
  };

  explicit QuotaSimulation(QuotaSimulationOptions options);
  QuotaSimulation(const QuotaSimulation&) = delete;
  QuotaSimulation& operator=(const QuotaSimulation&) = delete;

  // A new term, or a new process of the leader. No two grant at a time.
  void StartLeader();
  void StopLeader() { this->leader.reset(); }
  // Loses what the pool holds.
  void RestartPool(size_t pool);
  // Whether messages between the pool and the leader get through.
  void SetLinked(size_t pool, bool is_linked);
  void SetFaults(const Faults& faults) { this->faults = faults; }
  void SetAccounts(std::vector<ClientAccount> accounts);

  void Request(const AccountId& account, size_t pool);
  // Gives back the token that was last spent at the pool, as if its request had
  // been rejected.
  void Return(const AccountId& account, size_t pool);
  void Run(Duration time);

  Duration now() const { return this->time; }
  // When the tokens were spent, ascending.
  const std::vector<SpentToken>& spent(const AccountId& account) {
    return this->spent_tokens[account];
  }
  // When a leader answered its first call.
  const std::vector<Duration>& starts() const { return this->leader_starts; }
  // Tokens that the pool holds.
  uint64_t held(size_t pool) const {
    const Pool& holder = this->pools[pool];
    return holder.tokens->HeldTokens(Read(holder.clock, this->time));
  }
  uint64_t rejected() const { return this->rejected_count; }
  uint64_t unknown() const { return this->unknown_count; }
  uint64_t messages() const { return this->message_count; }

 private:
  struct Clock {
    Duration offset{};
    double rate = 1;
  };
  struct Pool {
    std::unique_ptr<TokenPool> tokens;
    Clock clock;
    uint64_t incarnation = 0;
    bool is_linked = true;
  };

  static BootTime Read(const Clock& clock, Duration time);
  Clock AnyClock();
  void At(Duration time, std::function<void()> action);
  // Delivers a message, perhaps late, twice or never.
  void Send(size_t pool, const std::function<void()>& deliver);
  void Call(size_t index);
  void CallIfDue(size_t index);
  void AnswerCall(size_t index, const RefillCall& call);

  QuotaSimulationOptions options;
  std::mt19937_64 random;
  std::multimap<Duration, std::function<void()>> events;
  Duration time{};
  Faults faults;
  std::vector<Pool> pools;
  std::optional<QuotaLeader> leader;
  Clock leader_clock;
  bool has_answered = false;
  std::map<AccountId, std::vector<SpentToken>> spent_tokens;
  std::vector<Duration> leader_starts;
  uint64_t rejected_count = 0;
  uint64_t unknown_count = 0;
  uint64_t message_count = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUOTA_QUOTA_SIMULATION_H_
