#include "knapweedroad/testing/searcher_protocol.h"

#include <criterion/criterion.h>

#include "knapweedroad/testing/searcher_counts_json.h"
#include "knapweedroad/testing/stand_in_fault.h"

namespace knapweedroad {
namespace {

HttpRequest SearchRequest() {
  HttpRequest request{.method = "POST", .path = "/v1/search"};
  request.headers["Knapweed-Attempt-Id"] = "a-1";
  request.headers["Knapweed-Request-Id"] = "q-1";
  request.headers["Knapweed-Deadline-Ms"] = "250";
  request.headers["Knapweed-Snapshot"] = "1.5";
  request.body = R"({"query": "storm", "limit": 10})";
  return request;
}

Test(SearcherProtocol, ReadsASearch) {
  const auto work = ReadWork(SearchRequest());
  cr_assert(work.has_value());
  cr_assert(work->kind == WorkKind::kSearch);
  cr_assert(work->remaining == std::chrono::milliseconds(250));
  cr_assert_eq(work->snapshot.index_version, 5);
  cr_assert_eq(work->subject, "storm");
}

Test(SearcherProtocol, ReadsALookupAndItsKey) {
  HttpRequest request = SearchRequest();
  request.path = "/v1/records/r-7/lookup";
  request.headers["Idempotency-Key"] = "k-1";
  const auto work = ReadWork(request);
  cr_assert(work->kind == WorkKind::kLookup);
  cr_assert_eq(work->subject, "r-7");
  cr_assert_eq(work->idempotency_key, "k-1");
}

Test(SearcherProtocol, RefusesWhatIsMalformedAsNotRun) {
  HttpRequest request = SearchRequest();
  request.headers["Knapweed-Snapshot"] = "newest";
  const auto work = ReadWork(request);
  cr_assert_eq(work.error().status, 400);
  cr_assert(FindHeader(work.error().headers, "Knapweed-Outcome") == "not_run");
}

Test(SearcherProtocol, CountsSurviveTheirJson) {
  SearcherCore core({.target = TargetId("t"), .slots = 2}, TimePoint());
  for (int i = 0; i < 3; ++i) {
    core.Begin({.attempt_id = "a", .snapshot = {1, 1}}, TimePoint());
  }
  const auto counts = ReadCounts(WriteCounts(CountsOf(core)));
  cr_assert(counts.has_value());
  cr_assert_eq(counts->counts.received, 3);
  cr_assert(counts->counts.violations == core.counts().violations);
  cr_assert_eq(counts->counts.first_violations.size(), 2);
  cr_assert(counts->holds == core.holds());
}

Test(StandInFault, ReadsEachKind) {
  const auto misbehave = ParseStandInFault(
      R"({"fault": "misbehave", "straggle_probability": 0.01,
          "reports_ready": true})");
  cr_assert(misbehave && misbehave->faults.reports_ready);
  const auto restart =
      ParseStandInFault(R"({"fault": "restart", "down_ms": 500})");
  cr_assert(restart && restart->down == std::chrono::milliseconds(500));
  const auto change = ParseStandInFault(R"({"fault": "change_version"})");
  cr_assert(change && change->snapshot.index_version == 0);
}

Test(StandInFault, RefusesWhatItDoesNotKnow) {
  for (const char* text : {"", "{}", R"({"fault": "explode"})",
                           R"({"fault": "leave", "down_ms": 1})",
                           R"({"fault": "misbehave", "shed_probability": 2})",
                           R"({"fault": "repartition", "generation": 2})"}) {
    cr_expect(!ParseStandInFault(text).has_value(), "%s", text);
  }
}

}  // namespace
}  // namespace knapweedroad
