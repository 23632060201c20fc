#include "knapweedroad/load/load_plan.h"

#include <algorithm>

#include <criterion/criterion.h>

#include "knapweedroad/load/address_list.h"
#include "knapweedroad/load/open_loop.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kPlan = R"({
  // Two tenants on one front.
  "name": "steady", "seed": 7, "duration_ms": 10000, "max_outstanding": 50,
  "fronts": [{"name": "redactie", "generations": [
      {"number": 1, "prefix": "redactie-", "services": 3, "units": 10}]}],
  "streams": [{"front": "redactie", "rate_per_s": 100, "deadline_ms": 500,
      "callers": [{"tenant": "editors", "share": 3}, {"tenant": "radio"}]}],
  "timeline": [{"at_ms": 1000, "targets": "redactie-1-*",
                "send": {"fault": "fall_cold"}},
               {"at_ms": 2000, "zone": "leuven", "take": "out"}]
})";

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kPlan;
  text.replace(text.find(from), from.size(), to);
  return text;
}

// Returns whether an error of the plan contains this JSON path.
bool FailsAt(const std::string& text, const std::string& place) {
  const auto plan = ReadLoadPlan(text);
  return !plan && std::any_of(plan.error().begin(), plan.error().end(),
                              [&place](const std::string& error) {
                                return error.starts_with(place + ": ");
                              });
}

Test(LoadPlan, ReadsAScenarioWithComments) {
  const auto plan = ReadLoadPlan(kPlan);
  cr_assert(plan.has_value());
  cr_assert_eq(plan->fronts[0].units.at(1).size(), 3);
  cr_assert_eq(plan->streams[0].callers.size(), 2);
  cr_assert(plan->streams[0].until == seconds(10));
  cr_assert(plan->timeline[1].zone == ZoneId("leuven"));
}

Test(LoadPlan, ReportsThePathOfEachError) {
  cr_expect(FailsAt(Replaced("\"seed\"", "\"sead\""), "/sead"));
  cr_expect(FailsAt(Replaced("\"rate_per_s\": 100", "\"rate_per_s\": -1"),
                    "/streams/0/rate_per_s"));
  cr_expect(FailsAt(Replaced("\"front\": \"redactie\"", "\"front\": \"x\""),
                    "/streams/0/front"));
  cr_expect(FailsAt(Replaced("fall_cold", "fall_cld"), "/timeline/0/send"));
  cr_expect(FailsAt(Replaced("\"out\"", "\"off\""), "/timeline/1/take"));
  cr_expect(FailsAt(Replaced("500", "\"500\""), "/streams/0/deadline_ms"));
  cr_expect(FailsAt(Replaced("\"tenant\": \"radio\"", "\"share\": 1"),
                    "/streams/0/callers/1/tenant"));
}

Test(LoadPlan, ReportsAllErrorsTogether) {
  std::string text = Replaced("\"rate_per_s\": 100", "\"rate_per_s\": -1");
  text.replace(text.find("\"out\""), 5, "\"off\"");
  const auto plan = ReadLoadPlan(text);
  cr_assert(!plan.has_value());
  cr_assert_geq(plan.error().size(), 2);
}

Test(LoadPlan, RejectsInvalidJson) {
  cr_assert(!ReadLoadPlan("{\"name\": ").has_value());
  cr_assert(!ReadLoadPlan("[]").has_value());
}

Test(AddressList, ReadsPortRanges) {
  const auto list = ParseAddressList("127.0.0.1:7001,127.0.0.1:9100-9102");
  cr_assert(list.has_value());
  cr_assert_eq(list->size(), 4);
  cr_assert_eq(list->back().port, 9102);
  cr_assert(!ParseAddressList("127.0.0.1").has_value());
  cr_assert(!ParseAddressList("127.0.0.1:9102-9100").has_value());
}

Test(CallSource, SameSeedGivesSameCalls) {
  const auto plan = ReadLoadPlan(kPlan);
  CallSource first(*plan, "a");
  CallSource second(*plan, "a");
  size_t calls = 0;
  while (const auto left = first.Next()) {
    const auto right = second.Next();
    cr_assert(right && left->at == right->at);
    cr_assert(left->call.subject == right->call.subject);
    cr_assert(left->call.tenant == right->call.tenant);
    ++calls;
  }
  cr_assert(!second.Next().has_value());
  // 1000 are expected; this is six standard deviations.
  cr_assert(calls > 800 && calls < 1200);
}

// Guards against a generator that waits for answers: it sends fewer calls
// during a stall and so hides it in the latencies. No call is answered here,
// and every call must still be due on time.
Test(OpenLoop, UnansweredCallsDoNotDelaySends) {
  auto plan = ReadLoadPlan(kPlan);
  plan->max_outstanding = 10000;
  OpenLoop answered(*plan, "a");
  OpenLoop stalled(*plan, "a");
  for (Duration now{}; now <= seconds(10); now += milliseconds(10)) {
    const auto with_answers = answered.Due(now);
    const auto without = stalled.Due(now);
    cr_assert_eq(with_answers.size(), without.size());
    for (size_t i = 0; i < with_answers.size(); ++i) {
      cr_assert(with_answers[i].at == without[i].at);
      answered.OnEnded();
    }
  }
  cr_assert_gt(stalled.outstanding(), 800);
  cr_assert_eq(answered.outstanding(), 0);
}

Test(OpenLoop, ReportsLagAndSkippedCalls) {
  const auto plan = ReadLoadPlan(kPlan);
  OpenLoop loop(*plan, "a");
  const auto due = loop.Due(seconds(5));
  cr_assert_eq(due.size(), 50);
  cr_assert_gt(loop.skipped(), 300);
  cr_assert(loop.worst_lag() > seconds(4));
}

}  // namespace
}  // namespace knapweedroad
