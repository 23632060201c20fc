#include "knapweedroad/edge/run_plan.h"

#include <criterion/criterion.h>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr Duration kWait = milliseconds(1000);
constexpr Duration kAim = milliseconds(100);
constexpr Duration kLead = milliseconds(8);
const TimePoint kNow = TimePoint(std::chrono::seconds(100));

RouteConfig ScatterRoute() {
  return {.timeout = kWait, .latency_target = kAim, .is_scatter = true};
}

// Guards against an answer that leaves when it should have arrived.
Test(run_plan, decides_so_early_that_the_answer_arrives_in_time) {
  RouteMemory memory;
  const RequestRunOptions options = PlanRun(
      ScatterRoute(), {.time_left = kWait, .received = kNow}, memory, kLead);
  cr_expect(options.latency_target_at == kNow + kAim - kLead);
  cr_expect(options.deadline == kNow + kWait);
}

// Guards against a caller that comes back after a refusal and is given the
// whole latency target again, so that its answer is late for the caller.
Test(run_plan, a_caller_that_comes_back_has_less_time) {
  RouteMemory memory;
  PlanRun(ScatterRoute(), {.time_left = kWait, .received = kNow}, memory,
          kLead);
  const RequestRunOptions options = PlanRun(
      ScatterRoute(), {.time_left = kWait - milliseconds(60), .received = kNow},
      memory, kLead);
  // One request lets the longest wait fade by a thousandth.
  const Duration left = options.latency_target_at - kNow;
  cr_expect(left >= kAim - milliseconds(60) - kLead);
  cr_expect(left <= kAim - milliseconds(60) - kLead + kWait / 1000);
}

// Guards against an answer that is late by the time in which the caller opened
// its connection, on a host that sees few requests and hasn't learned how long
// callers wait.
Test(run_plan, the_time_to_connect_counts_on_a_host_with_few_requests) {
  RouteMemory memory;
  const RequestRunOptions first = PlanRun(
      ScatterRoute(), {.time_left = kWait - milliseconds(7), .received = kNow},
      memory, kLead);
  cr_expect(first.latency_target_at == kNow + kAim - milliseconds(7) - kLead);
  // Callers that wait much less than the route allows don't seem to come back.
  RouteMemory other;
  const RequestRunOptions shorter = PlanRun(
      ScatterRoute(), {.time_left = kWait / 2, .received = kNow}, other, kLead);
  cr_expect(shorter.latency_target_at == kNow + kAim - kLead);
}

// Guards against a coordinator that replies before most of its parts can have
// answered: each that is missing costs a call.
Test(run_plan, a_coordinator_waits_for_half_of_the_time_left) {
  cr_expect(CoordinatorReplyTime(milliseconds(5), milliseconds(28)) ==
            milliseconds(14));
  cr_expect(CoordinatorReplyTime(milliseconds(25), milliseconds(28)) ==
            milliseconds(25));
  cr_expect(CoordinatorReplyTime(milliseconds(5), -milliseconds(9)) ==
            milliseconds(5));
}

// Guards against a run that goes on after its caller has stopped waiting.
Test(run_plan, ends_with_the_shorter_of_both_waits) {
  RouteMemory memory;
  const RequestRunOptions shorter = PlanRun(
      ScatterRoute(), {.time_left = milliseconds(200), .received = kNow},
      memory, kLead);
  const RequestRunOptions longer =
      PlanRun(ScatterRoute(), {.time_left = kWait * 2, .received = kNow},
              memory, kLead);
  cr_expect(shorter.deadline == kNow + milliseconds(200));
  cr_expect(longer.deadline == kNow + kWait);
}

}  // namespace
}  // namespace knapweedroad
