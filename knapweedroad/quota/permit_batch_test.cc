#include "knapweedroad/quota/permit_batch.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

#include "knapweedroad/quota/quota_messages.h"
#include "knapweedroad/quota/quota_tolerance.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

const HostId kFirst("control-1");
const HostId kSecond("control-2");
const std::vector<HostId> kBoth = {kFirst, kSecond};
const AccountId kAccount("acme");

constexpr auto kOverQuota = static_cast<uint8_t>(QuotaOutcome::kOverQuota);
constexpr auto kUnknown = static_cast<uint8_t>(QuotaOutcome::kUnknown);

// Questions about one account and what they were told, in virtual time.
struct World {
  explicit World(int count = 1) : batch({}, this->Questions(count), now) {}

  std::vector<PermitQuestion> Questions(int count) {
    std::vector<PermitQuestion> questions;
    questions.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      questions.push_back(
          {.account = kAccount,
           .on_decision = [this](const QuotaDecision& decision) {
             this->decisions.push_back(decision);
           }});
    }
    return questions;
  }

  int Count(QuotaOutcome outcome) const {
    return static_cast<int>(
        std::ranges::count(this->decisions, outcome, &QuotaDecision::outcome));
  }

  TimePoint now{1h};
  BootTime boot{1h};
  std::vector<QuotaDecision> decisions;
  PermitBatch batch;
};

// Guards against one message for each of the requests that arrive together.
Test(permit_batch, questions_about_one_account_share_a_call) {
  World world(3);
  const PermitCall call = world.batch.MakeCall(kFirst, world.boot);
  cr_assert(call.requests.size() == 1);
  cr_expect(call.requests[0].count == 3);
}

// Guards against a request that waits for a control host that doesn't reply.
Test(permit_batch, a_lost_reply_is_asked_for_at_another_host_after_80_ms) {
  World world;
  cr_assert(world.batch.NextHost(kBoth, world.now) == kFirst);
  world.batch.MakeCall(kFirst, world.boot);
  cr_expect(!world.batch.NextHost(kBoth, world.now + 79ms));
  cr_expect(world.batch.NextWake(world.now) == world.now + 80ms);
  cr_assert(world.batch.NextHost(kBoth, world.now + 80ms) == kSecond);
  world.batch.MakeCall(kSecond, world.boot + 80ms);
  cr_expect(!world.batch.NextHost(kBoth, world.now + 100ms));
  cr_expect(world.batch.NextWake(world.now + 100ms) == world.now + 250ms);
  world.batch.OnReply(1, {.grants = {{.granted = 1}}}, world.boot + 90ms);
  cr_expect(world.Count(QuotaOutcome::kGranted) == 1);
  cr_expect(world.batch.is_decided());
}

// Guards against a wait for the time-out of a host that is known to be gone.
Test(permit_batch, a_failed_call_is_repeated_at_once) {
  World world;
  world.batch.MakeCall(kFirst, world.boot);
  world.batch.OnCallFailed(0);
  cr_expect(world.batch.NextHost(kBoth, world.now + 1ms) == kSecond);
  world.batch.MakeCall(kSecond, world.boot);
  world.batch.OnCallFailed(1);
  cr_expect(!world.batch.NextHost(kBoth, world.now + 2ms));
  cr_expect(!world.batch.is_calling());
  world.batch.GiveUp();
  cr_expect(world.Count(QuotaOutcome::kUnknown) == 1);
  cr_expect(world.decisions.front().retry_after == 500ms);
}

// Guards against tokens that are lost because two control hosts have granted
// the same question, and against a second decision on it.
Test(permit_batch, permits_of_a_late_reply_are_surplus) {
  World world(2);
  world.batch.MakeCall(kFirst, world.boot);
  world.batch.MakeCall(kSecond, world.boot + 80ms);
  cr_expect(
      world.batch.OnReply(1, {.grants = {{.granted = 2}}}, world.boot + 90ms)
          .empty());
  const auto surplus =
      world.batch.OnReply(0, {.grants = {{.granted = 2}}}, world.boot + 120ms);
  cr_assert(surplus.size() == 1);
  cr_expect(surplus[0].account == kAccount);
  cr_expect(surplus[0].count == 2);
  cr_expect(world.decisions.size() == 2);
}

// Guards against permits that are counted twice when a reply arrives twice.
Test(permit_batch, a_duplicate_reply_is_ignored) {
  World world(2);
  world.batch.MakeCall(kFirst, world.boot);
  const PermitReply reply{.grants = {{.granted = 1, .outcome = kUnknown}}};
  world.batch.OnReply(0, reply, world.boot + 10ms);
  cr_expect(world.batch.OnReply(0, reply, world.boot + 11ms).empty());
  cr_expect(world.decisions.size() == 1);
}

// Guards against a reply that grants more permits, or to more accounts, than
// were asked for.
Test(permit_batch, a_reply_that_does_not_fit_the_call_grants_what_was_asked) {
  World world(1);
  world.batch.MakeCall(kFirst, world.boot);
  const auto surplus = world.batch.OnReply(
      0, {.grants = {{.granted = 9}, {.granted = 9}}}, world.boot + 10ms);
  cr_expect(surplus.empty());
  cr_expect(world.decisions.size() == 1);
}

// Guards against a batch of which one permit decides on all requests.
Test(permit_batch, a_partial_grant_rejects_the_other_requests) {
  World world(3);
  world.batch.MakeCall(kFirst, world.boot);
  world.batch.OnReply(0,
                      {.grants = {{.granted = 1,
                                   .outcome = kOverQuota,
                                   .retry_after_ms = 700}}},
                      world.boot + 10ms);
  cr_expect(world.Count(QuotaOutcome::kGranted) == 1);
  cr_expect(world.Count(QuotaOutcome::kOverQuota) == 2);
  cr_expect(world.decisions.back().retry_after == 700ms);
}

// Guards against a 503 because one control host has lost the leader while
// another one can still grant.
Test(permit_batch, a_host_that_does_not_know_is_followed_by_another) {
  World world(2);
  world.batch.MakeCall(kFirst, world.boot);
  world.batch.OnReply(0, {.grants = {{.granted = 1, .outcome = kUnknown}}},
                      world.boot + 10ms);
  cr_expect(world.decisions.size() == 1);
  cr_assert(world.batch.NextHost(kBoth, world.now + 10ms) == kSecond);
  const PermitCall call = world.batch.MakeCall(kSecond, world.boot + 10ms);
  cr_expect(call.requests[0].count == 1);
}

// Guards against a permit that is used after its lifetime because this host was
// suspended, which the monotonic clock doesn't count.
Test(permit_batch, a_permit_past_its_lifetime_is_asked_for_once_more) {
  World world;
  world.batch.MakeCall(kFirst, world.boot);
  world.boot += kPermitLifetime;
  cr_expect(
      world.batch.OnReply(0, {.grants = {{.granted = 1}}}, world.boot).empty());
  cr_expect(world.decisions.empty());
  cr_expect(world.batch.discarded() == 1);
  cr_assert(world.batch.NextHost(kBoth, world.now + 10ms) == kFirst);
  world.batch.MakeCall(kFirst, world.boot);
  world.boot += kPermitLifetime;
  world.batch.OnReply(1, {.grants = {{.granted = 1}}}, world.boot);
  cr_expect(world.decisions.empty());
  cr_expect(world.batch.discarded() == 2);
  cr_expect(world.batch.NextHost(kBoth, world.now + 20ms) != kFirst);
}

// Guards against a request that is held longer than the caller's patience.
Test(permit_batch, nothing_is_asked_after_the_deadline) {
  World world;
  world.batch.MakeCall(kFirst, world.boot);
  cr_expect(!world.batch.NextHost(kBoth, world.now + 250ms));
}

}  // namespace
}  // namespace knapweedroad
