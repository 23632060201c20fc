#include "knapweedroad/admission/fair_queue.h"

#include <criterion/criterion.h>

#include <map>
#include <string>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

AdmissionRequest Request(std::string attempt,
                         const char* tenant,
                         uint32_t weight,
                         int deadline_ms = 100) {
  return {.attempt = std::move(attempt),
          .tenant = TenantId(tenant),
          .request_class = "normal",
          .tenant_weight = weight,
          .deadline = TimePoint(milliseconds(deadline_ms))};
}

Test(FairQueue, ServesTenantsByWeight) {
  FairQueue queue;
  for (int i = 0; i < 40; ++i) {
    queue.Push(Request("a" + std::to_string(i), "a", 3));
    queue.Push(Request("b" + std::to_string(i), "b", 1));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 40; ++i) {
    ++served[queue.Pop()->tenant.str()];
  }
  cr_assert_eq(served["a"], 30);
  cr_assert_eq(served["b"], 10);
}

Test(FairQueue, ServesEarliestDeadlineOfClassFirst) {
  FairQueue queue;
  queue.Push(Request("late", "a", 1, 200));
  queue.Push(Request("early", "a", 1, 50));
  cr_assert_eq(queue.Pop()->attempt, "early");
}

// A tenant sends many requests after an hour without any. If it resumed at its
// virtual time of an hour ago, only its requests would be served until it
// caught up, and those of other tenants would miss their deadlines.
Test(FairQueue, IdleTenantGainsNoCredit) {
  FairQueue queue;
  for (int i = 0; i < 100; ++i) {
    queue.Push(Request("a" + std::to_string(i), "a", 1));
    queue.Pop();
  }
  for (int i = 0; i < 10; ++i) {
    queue.Push(Request("x" + std::to_string(i), "a", 1));
    queue.Push(Request("y" + std::to_string(i), "b", 1));
  }
  int of_b = 0;
  for (int i = 0; i < 10; ++i) {
    of_b += queue.Pop()->tenant == TenantId("b") ? 1 : 0;
  }
  cr_assert_eq(of_b, 5);
}

Test(FairQueue, EvictsFromTenantWithMostWaitingPerWeight) {
  FairQueue queue;
  for (int i = 0; i < 6; ++i) {
    queue.Push(Request("a" + std::to_string(i), "a", 4));
  }
  queue.Push(Request("b0", "b", 1, 100));
  queue.Push(Request("b1", "b", 1, 300));
  cr_assert_eq(queue.EvictMostOverShare()->attempt, "b1");
  cr_assert_eq(queue.size(), 7u);
}

Test(FairQueue, ExpectedPositionFollowsTenantShare) {
  FairQueue queue;
  for (int i = 0; i < 20; ++i) {
    queue.Push(Request("a" + std::to_string(i), "a", 1));
  }
  // The only attempt of its tenant; served after one of the other tenant's.
  cr_assert_eq(queue.PositionOf(Request("b", "b", 1)), 1u);
  cr_assert_eq(queue.PositionOf(Request("a", "a", 1)), 20u);
}

}  // namespace
}  // namespace knapweedroad
