#include "knapweedroad/rollout/rollout_orders.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::seconds;

const ServiceId kService("s");
const HostId kOwner("c1");

RolloutRequest MakeRequest(const char* version, int64_t at_s) {
  return {.service = kService,
          .candidate = VersionId(version),
          .serving_version = VersionId("v1"),
          .duration = seconds(12),
          .owner = kOwner,
          .now_ms = at_s * 1000,
          .resend_window = seconds(6)};
}

Test(rollout_orders, an_order_starts_a_rollout_that_ends_once) {
  std::vector<RolloutRecord> rollouts;
  ApplyOrder(rollouts, MakeRequest("v2", 100));
  cr_assert(rollouts.size() == 1);
  cr_expect(rollouts[0].state == RolloutState::kRunning);
  cr_expect(rollouts[0].stable == VersionId("v1"));
  FinishRollout(rollouts, kService, rollouts[0].number, kOwner,
                RolloutState::kRolledBack);
  FinishRollout(rollouts, kService, rollouts[0].number, kOwner,
                RolloutState::kCompleted);
  cr_expect(rollouts[0].state == RolloutState::kRolledBack);
}

// Guards against a rollout that starts again because the acknowledgement of its
// order was lost and the order was resent after the rollout ended.
Test(rollout_orders, a_resent_order_changes_nothing) {
  std::vector<RolloutRecord> rollouts;
  ApplyOrder(rollouts, MakeRequest("v2", 100));
  const auto running = rollouts;
  RolloutRequest resent = MakeRequest("v2", 103);
  resent.owner = HostId("c2");
  ApplyOrder(rollouts, resent);
  cr_expect(rollouts == running);
  FinishRollout(rollouts, kService, 1, kOwner, RolloutState::kRolledBack);
  const auto ended = rollouts;
  ApplyOrder(rollouts, resent);
  cr_expect(rollouts == ended);
}

Test(rollout_orders,
     the_same_order_after_the_resend_window_starts_a_new_rollout) {
  std::vector<RolloutRecord> rollouts;
  ApplyOrder(rollouts, MakeRequest("v2", 100));
  FinishRollout(rollouts, kService, 1, kOwner, RolloutState::kRolledBack);
  ApplyOrder(rollouts, MakeRequest("v2", 200));
  cr_expect(rollouts[0].state == RolloutState::kRunning);
  cr_expect(rollouts[0].number == 2);
}

Test(rollout_orders, an_order_for_the_version_in_use_completes_at_once) {
  std::vector<RolloutRecord> rollouts;
  ApplyOrder(rollouts, MakeRequest("v1", 100));
  cr_expect(rollouts[0].state == RolloutState::kCompleted);
}

// Guards against returning to a replaced version because a late copy of its
// order arrives after the newer order.
Test(rollout_orders, a_late_copy_of_an_older_order_is_ignored) {
  std::vector<RolloutRecord> rollouts;
  ApplyOrder(rollouts, MakeRequest("v2", 100));
  ApplyOrder(rollouts, MakeRequest("v3", 101));
  cr_expect(rollouts[0].candidate == VersionId("v3"));
  cr_expect(rollouts[0].stable == VersionId("v1"));
  ApplyOrder(rollouts, MakeRequest("v2", 103));
  cr_expect(rollouts[0].candidate == VersionId("v3"));
  cr_expect(rollouts[0].number == 2);
}

Test(rollout_orders, a_completed_candidate_becomes_the_next_stable_version) {
  std::vector<RolloutRecord> rollouts;
  ApplyOrder(rollouts, MakeRequest("v2", 100));
  FinishRollout(rollouts, kService, 1, kOwner, RolloutState::kCompleted);
  ApplyOrder(rollouts, MakeRequest("v3", 200));
  cr_expect(rollouts[0].stable == VersionId("v2"));
}

// Guards against applying the decision on a replaced rollout to the newer one.
Test(rollout_orders, finishing_a_replaced_rollout_changes_nothing) {
  std::vector<RolloutRecord> rollouts;
  ApplyOrder(rollouts, MakeRequest("v2", 100));
  ApplyOrder(rollouts, MakeRequest("v3", 101));
  FinishRollout(rollouts, kService, 1, kOwner, RolloutState::kCompleted);
  cr_expect(rollouts[0].state == RolloutState::kRunning);
}

// Guards against a rollback by a former owner, which hears of no answers
// because entry hosts report to its successor.
Test(rollout_orders, a_former_owner_finishes_nothing) {
  std::vector<RolloutRecord> rollouts;
  ApplyOrder(rollouts, MakeRequest("v2", 100));
  TakeOverRollout(rollouts, kService, kOwner, HostId("c2"));
  FinishRollout(rollouts, kService, 1, kOwner, RolloutState::kRolledBack);
  cr_expect(rollouts[0].state == RolloutState::kRunning);
  FinishRollout(rollouts, kService, 1, HostId("c2"), RolloutState::kCompleted);
  cr_expect(rollouts[0].state == RolloutState::kCompleted);
}

Test(rollout_orders, a_rollout_is_taken_over_only_from_its_owner) {
  std::vector<RolloutRecord> rollouts;
  ApplyOrder(rollouts, MakeRequest("v2", 100));
  TakeOverRollout(rollouts, kService, HostId("c9"), HostId("c2"));
  cr_expect(rollouts[0].owner == HostId("c1"));
  TakeOverRollout(rollouts, kService, HostId("c1"), HostId("c2"));
  cr_expect(rollouts[0].owner == HostId("c2"));
}

Test(rollout_orders, the_oldest_ended_rollouts_are_removed_beyond_the_limit) {
  std::vector<RolloutRecord> rollouts;
  for (size_t i = 0; i < kMaxEndedRollouts + 10; ++i) {
    RolloutRequest request = MakeRequest("v1", static_cast<int64_t>(100 + i));
    request.service = ServiceId("s" + std::to_string(i));
    ApplyOrder(rollouts, request);
  }
  cr_expect(rollouts.size() == kMaxEndedRollouts);
  cr_expect(FindRollout(rollouts, ServiceId("s0")) == nullptr);
  cr_expect(FindRollout(rollouts, ServiceId("s500")) != nullptr);
}

}  // namespace
}  // namespace knapweedroad
