#include "knapweedroad/quota/quota_leadership.h"

#include <criterion/criterion.h>

#include <vector>

#include "knapweedroad/quota/quota_messages.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

const HostId kSelf("control-a");
const HostId kOther("control-b");
const AccountId kAccount("acme");
const QuotaLeaderRecord kFirstTerm{.host = kSelf, .term = 1};

// The leadership of one host, in virtual time.
struct World {
  World() {
    const std::vector<ClientAccount> accounts = {
        {.name = kAccount,
         .keys = {"secret"},
         .quota = {.rate = 10, .burst = 10}},
        {.name = AccountId("unlimited")}};
    this->leadership.SetAccounts(accounts, this->now);
  }

  // Learns of the term, and waits until its lease may begin.
  void Begin(uint64_t version, const QuotaLeaderRecord& leader) {
    this->leadership.OnAgreed(version, leader, this->now);
    this->now += 1100ms;
  }

  uint32_t Ask(uint32_t waiting) {
    const RefillReply reply = this->leadership.Answer(
        {.host = kOther,
         .incarnation = 1,
         .sequence = ++this->sequence,
         .accounts = {{.account = kAccount, .waiting = waiting}}},
        this->now);
    this->is_leader = reply.is_leader;
    return reply.grants.empty() ? 0 : reply.grants[0].granted;
  }

  BootTime now{1h};
  QuotaLeadership leadership{{.self = kSelf, .tolerance = {.slack = 20}}};
  uint64_t sequence = 0;
  bool is_leader = false;
};

// Guards against a leader that grants while its predecessor may still grant,
// and against one that never begins.
Test(quota_leadership, a_term_grants_only_after_a_lease_length) {
  World world;
  world.leadership.OnAgreed(1, {.host = kSelf, .term = 2}, world.now);
  world.now += 900ms;
  world.leadership.OnConfirmed(1, world.now);
  cr_expect(world.Ask(1) == 0);
  cr_expect(!world.is_leader);
  world.now += 200ms;
  cr_expect(world.Ask(1) == 1);
  cr_expect(world.is_leader);
}

// Guards against a lease that rests on the confirmation of a version that this
// host doesn't know: it may name another leader.
Test(quota_leadership, a_confirmation_of_an_unknown_version_does_not_count) {
  World world;
  world.Begin(1, kFirstTerm);
  world.leadership.OnConfirmed(2, world.now);
  cr_expect(world.Ask(1) == 0);
  world.leadership.OnConfirmed(1, world.now);
  cr_expect(world.Ask(1) == 1);
}

// Guards against a lease that ends because this host has learned of a version
// during the confirmation.
Test(quota_leadership, a_confirmation_counts_when_a_newer_version_is_known) {
  World world;
  world.Begin(1, kFirstTerm);
  world.leadership.OnAgreed(3, kFirstTerm, world.now);
  world.leadership.OnConfirmed(2, world.now);
  cr_expect(world.Ask(1) == 1);
}

// Guards against a host that goes on granting after another one was chosen.
Test(quota_leadership, a_replaced_leader_stops_at_once) {
  World world;
  world.Begin(1, kFirstTerm);
  world.leadership.OnConfirmed(1, world.now);
  cr_expect(world.Ask(1) == 1);
  world.leadership.OnAgreed(2, {.host = kOther, .term = 2}, world.now);
  world.leadership.OnConfirmed(2, world.now);
  cr_expect(world.Ask(1) == 0);
  cr_expect(!world.is_leader);
  cr_expect(!world.leadership.NeedsConfirmations());
}

// Guards against a second burst: a host that is chosen again doesn't know what
// the leader between its terms has granted.
Test(quota_leadership, a_later_term_starts_with_few_tokens) {
  World world;
  world.Begin(1, kFirstTerm);
  world.leadership.OnConfirmed(1, world.now);
  world.Ask(0);
  world.now += 60s;
  world.leadership.OnAgreed(2, {.host = kOther, .term = 2}, world.now);
  world.Begin(3, {.host = kSelf, .term = 3});
  world.leadership.OnConfirmed(3, world.now);
  cr_expect(world.Ask(100) <= static_cast<uint32_t>(kStartTokens));
}

// Guards against keys that are kept where nothing needs them.
Test(quota_leadership, the_keys_of_accounts_are_not_kept) {
  const World world;
  cr_assert(world.leadership.accounts().size() == 1);
  cr_expect(world.leadership.accounts()[0].keys.empty());
}

}  // namespace
}  // namespace knapweedroad
