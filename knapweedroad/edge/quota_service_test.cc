#include "knapweedroad/edge/quota_service.h"

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "knapweedroad/edge/quorum_confirmer.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/quota/quota_decision.h"
#include "knapweedroad/quota/quota_messages.h"
#include "knapweedroad/registry/agreed_state.h"
#include "knapweedroad/routing/routing_config.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

const HostId kA("control-a");
const HostId kB("control-b");
const HostId kC("control-c");
const AccountId kAccount("acme");
constexpr double kRate = 20;
constexpr double kBurst = 10;

tl::expected<RoutingConfig, std::string> ReadRouting(std::string_view) {
  return RoutingConfig{
      .accounts = {
          {{.name = kAccount, .quota = {.rate = kRate, .burst = kBurst}},
           {.name = AccountId("unlimited")}}}};
}

// Control hosts whose agreed state and messages are in memory. Each is ticked
// and, while it has a quorum, confirmed ten times a second.
struct Fleet {
  explicit Fleet(const std::vector<HostId>& ids,
                 RoutingReader reader = ReadRouting)
      : reader(std::move(reader)) {
    this->agreed.number = 1;
    for (const HostId& id : ids) {
      this->hosts[id] = this->Make(id);
      this->hosts[id]->OnAgreed(this->version, this->agreed);
      this->hosts[id]->Start();
    }
    this->runtime.Spawn([this] {
      while (!this->is_over) {
        this->Tick();
        Runtime::SleepFor(100ms);
      }
    });
  }

  ~Fleet() {
    this->is_over = true;
    for (const auto& [id, host] : this->hosts) {
      host->Stop();
    }
    Runtime::SleepFor(500ms);
  }

  std::shared_ptr<QuotaService> Make(const HostId& id) {
    return std::make_shared<QuotaService>(
        this->runtime,
        QuotaServiceOptions{
            .self = id,
            .read_routing = this->reader,
            .live_control_hosts =
                [this] {
                  std::vector<HostId> live;
                  for (const auto& [host, service] : this->hosts) {
                    if (!this->killed[host]) {
                      live.push_back(host);
                    }
                  }
                  return live;
                },
            .has_quorum = [this] { return this->has_quorum; },
            .call = [this, id](
                        const HostId& host, const RefillCall& call,
                        TimePoint) { return this->Call(id, host, call); },
            .replace_leader =
                [this](const QuotaLeaderRecord& seen,
                       const QuotaLeaderRecord& next) {
                  if (this->has_quorum && this->agreed.quota_leader == seen) {
                    this->agreed.quota_leader = next;
                    ++this->version;
                  }
                }});
  }

  std::optional<RefillReply> Call(const HostId& from,
                                  const HostId& to,
                                  const RefillCall& call) {
    const bool is_cut = this->cut.contains({from, to});
    if (this->killed[from] || this->killed[to] || is_cut) {
      Runtime::SleepFor(50ms);
      return std::nullopt;
    }
    return this->hosts[to]->Answer(call);
  }

  void Tick() {
    const BootTime now = BootClock::now();
    for (const auto& [id, host] : this->hosts) {
      if (this->killed[id]) {
        continue;
      }
      if (this->has_quorum) {
        host->OnAgreed(this->version, this->agreed);
        if (host->NeedsConfirmations()) {
          host->OnConfirmed({.version = this->version, .began = now});
        }
      }
      host->Tick();
    }
  }

  // Asks for permits for so many requests. Returns the number granted.
  uint32_t Take(const HostId& at, uint32_t count = 1) {
    const PermitReply reply = this->hosts[at]->Answer(
        {.requests = {{.account = kAccount, .count = count}}});
    cr_assert(reply.grants.size() == 1);
    this->outcome = static_cast<QuotaOutcome>(reply.grants[0].outcome);
    return reply.grants[0].granted;
  }

  // Tokens held by the pool of the host.
  uint64_t Stock(const HostId& at) { return this->hosts[at]->HeldTokens(); }

  // Repeats until it is true; false if it never is.
  static bool Until(const std::function<bool()>& is_true) {
    for (int i = 0; i < 200; ++i) {
      if (is_true()) {
        return true;
      }
      Runtime::SleepFor(50ms);
    }
    return false;
  }

  Runtime runtime;
  RoutingReader reader;
  std::map<HostId, std::shared_ptr<QuotaService>> hosts;
  std::map<HostId, bool> killed;
  std::set<std::pair<HostId, HostId>> cut;
  bool has_quorum = true;
  bool is_over = false;
  uint64_t version = 1;
  AgreedState agreed;
  QuotaOutcome outcome = QuotaOutcome::kUnknown;
};

// Guards against a control host without others that never grants.
Test(quota_service, a_control_host_alone_becomes_leader_and_grants) {
  Fleet fleet({kA});
  cr_assert(Fleet::Until([&] { return fleet.Take(kA) == 1; }));
  cr_expect(fleet.hosts[kA]->counts().elections == 1);
  cr_expect(fleet.agreed.quota_leader ==
            QuotaLeaderRecord({.host = kA, .term = 1}));
}

// Guards against pools on other hosts than the leader's that get no tokens, and
// against an answer that isn't truthful when the tokens are used up.
Test(quota_service, requests_beyond_the_quota_are_told_so_on_every_host) {
  Fleet fleet({kA, kB});
  cr_assert(Fleet::Until([&] { return fleet.Take(kB) == 1; }));
  cr_expect(fleet.Take(kB, 500) < 500);
  cr_expect(fleet.outcome == QuotaOutcome::kOverQuota);
  cr_expect(Fleet::Until([&] { return fleet.Take(kA) == 1; }));
}

// Guards against a second leader, or none, after the leader is killed while
// pools hold tokens: the tokens are used meanwhile, and another host follows.
Test(quota_service, after_the_leader_is_killed_another_host_grants) {
  Fleet fleet({kA, kB, kC});
  cr_assert(Fleet::Until([&] {
    return fleet.Take(kC) == 1 && fleet.Take(kB) == 1 &&
           fleet.agreed.quota_leader.host == kA;
  }));
  cr_assert(Fleet::Until([&] { return fleet.Stock(kC) > 0; }));
  fleet.killed[kA] = true;
  cr_expect(fleet.Take(kC) == 1);
  cr_assert(Fleet::Until([&] {
    return fleet.agreed.quota_leader ==
           QuotaLeaderRecord({.host = kB, .term = 2});
  }));
  // More than the tokens that it held before.
  uint32_t granted = 0;
  cr_expect(Fleet::Until([&] { return (granted += fleet.Take(kC)) > 30; }));
  cr_expect(fleet.hosts[kB]->counts().elections == 1);
  cr_expect(fleet.hosts[kC]->counts().elections == 0);
}

// Guards against elections that replace a healthy leader because one link is
// cut: the pool reaches it through another control host.
Test(quota_service, a_pool_that_cannot_reach_the_leader_goes_by_another_host) {
  Fleet fleet({kA, kB, kC});
  cr_assert(Fleet::Until([&] {
    return fleet.agreed.quota_leader.host == kA && fleet.Take(kC) == 1;
  }));
  fleet.cut.insert({kC, kA});
  // More than the tokens that it held before, and for longer than it takes to
  // replace a leader.
  uint32_t granted = 0;
  cr_expect(Fleet::Until([&] { return (granted += fleet.Take(kC)) > 30; }));
  Runtime::SleepFor(2500ms);
  cr_expect(fleet.hosts[kB]->counts().refill_calls_forwarded > 0);
  cr_expect(fleet.agreed.quota_leader ==
            QuotaLeaderRecord({.host = kA, .term = 1}));
}

// Guards against a leader that goes on granting without a quorum, and against
// an entry host that waits for a decision longer than it can use it.
Test(quota_service, without_a_quorum_the_leader_stops_and_the_rest_is_unknown) {
  Fleet fleet({kA});
  cr_assert(Fleet::Until([&] { return fleet.Take(kA) == 1; }));
  fleet.has_quorum = false;
  cr_expect(Fleet::Until([&] {
    return fleet.Take(kA, 200) == 0 && fleet.outcome == QuotaOutcome::kUnknown;
  }));
  fleet.has_quorum = true;
  cr_expect(Fleet::Until([&] { return fleet.Take(kA) == 1; }));
  cr_expect(fleet.hosts[kA]->counts().elections == 1);
}

// Guards against confirmations, messages and elections in deployments without
// limits.
Test(quota_service, without_limits_no_leader_is_chosen_and_nobody_is_called) {
  Fleet fleet({kA, kB}, [](std::string_view) { return RoutingConfig(); });
  Runtime::SleepFor(1s);
  cr_expect(fleet.agreed.quota_leader == QuotaLeaderRecord());
  for (const auto& [id, host] : fleet.hosts) {
    cr_expect(!host->NeedsConfirmations());
    cr_expect(host->counts().elections == 0);
    cr_expect(host->counts().refill_calls == 0);
  }
}

}  // namespace
}  // namespace knapweedroad
