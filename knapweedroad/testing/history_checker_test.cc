#include "knapweedroad/testing/history_checker.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "knapweedroad/testing/index_truth.h"

namespace knapweedroad {
namespace {

using nlohmann::json;

constexpr SnapshotId kSnapshot{.generation = 1, .index_version = 5};

FrontTruth Truth() {
  return {.name = FrontId("redactie"),
          .units = {{1, {{ServiceId("s-1"), 10}, {ServiceId("s-2"), 30}}}}};
}

json HitsOf(const char* service, SnapshotId snapshot = kSnapshot) {
  json hits = json::array();
  for (const IndexHit& hit : TrueHits({.front = FrontId("redactie"),
                             .snapshot = snapshot,
                             .service = ServiceId(service)},
                                      "storm")) {
    hits.push_back({{"id", hit.id}, {"score", hit.score}});
  }
  return hits;
}

json Join(json left, const json& right) {
  left.insert(left.end(), right.begin(), right.end());
  return left;
}

// A whole and true answer, for tests to break.
json WholeBody() {
  return {{"request_id", "q-1"},
          {"front", "redactie"},
          {"snapshot", "1.5"},
          {"coverage", 1.0},
          {"units_answered", 40},
          {"units_total", 40},
          {"missing_services", json::array()},
          {"hits", Join(HitsOf("s-1"), HitsOf("s-2"))},
          {"host", "leuven-1"}};
}

CallRecord Answer(const json& body, const char* coverage = "1.0000") {
  CallRecord call{.kind = CallKind::kQuery,
                  .front = FrontId("redactie"),
                  .request_id = "q-1",
                  .subject = "storm",
                  .limit = 100,
                  .status = 200,
                  .body = body.dump()};
  call.headers["Knapweed-Request-Id"] = "q-1";
  call.headers["Knapweed-Snapshot"] = "1.5";
  call.headers["Knapweed-Outcome"] = "run";
  call.headers["Knapweed-Coverage"] = coverage;
  return call;
}

CallRecord Refusal(const char* outcome) {
  const json body = {
      {"request_id", "q-1"}, {"status", 503}, {"outcome", outcome}};
  CallRecord call{.front = FrontId("redactie"),
                  .request_id = "q-1",
                  .status = 503,
                  .body = body.dump()};
  call.headers["Knapweed-Request-Id"] = "q-1";
  call.headers["Knapweed-Outcome"] = outcome;
  call.headers["Retry-After"] = "1";
  return call;
}

uint64_t Found(const CallRecord& call, PromiseKind kind) {
  HistoryChecker checker({Truth()});
  checker.Check(call);
  const auto found = checker.totals().find(kind);
  return found == checker.totals().end() ? 0 : found->second;
}

Test(HistoryChecker, ATrueAnswerBreaksNothing) {
  HistoryChecker checker({Truth()});
  checker.Check(Answer(WholeBody()));
  cr_assert(checker.broken().empty());
  cr_assert_eq(checker.checked(), 1);
}

Test(HistoryChecker, ATruePartialAnswerBreaksNothing) {
  json body = WholeBody();
  body["hits"] = HitsOf("s-1");
  body["missing_services"] = {"s-2"};
  body["units_answered"] = 10;
  body["coverage"] = 0.25;
  HistoryChecker checker({Truth()});
  checker.Check(Answer(body, "0.2500"));
  cr_assert(checker.broken().empty());
}

Test(HistoryChecker, NoticesHitsOfAnotherSnapshot) {
  json body = WholeBody();
  const SnapshotId other{.generation = 1, .index_version = 4};
  body["hits"] = Join(HitsOf("s-1"), HitsOf("s-2", other));
  cr_assert_eq(Found(Answer(body), PromiseKind::kWrongHits), 1);
}

Test(HistoryChecker, NoticesAHitThatStandsTwice) {
  json body = WholeBody();
  body["hits"].push_back(body["hits"][0]);
  cr_assert_eq(Found(Answer(body), PromiseKind::kWrongHits), 1);
}

Test(HistoryChecker, NoticesASilentlyMissingService) {
  json body = WholeBody();
  body["hits"] = HitsOf("s-1");
  cr_assert_eq(Found(Answer(body), PromiseKind::kWrongCoverage), 1);
}

Test(HistoryChecker, NoticesATotalThatForgetsAService) {
  json body = WholeBody();
  body["hits"] = HitsOf("s-1");
  body["units_answered"] = 10;
  body["units_total"] = 10;
  cr_assert_eq(Found(Answer(body), PromiseKind::kWrongCoverage), 1);
}

Test(HistoryChecker, NoticesACoverageHeaderThatIsRoundedUp) {
  json body = WholeBody();
  body["hits"] = HitsOf("s-1");
  body["missing_services"] = {"s-2"};
  body["units_answered"] = 10;
  body["coverage"] = 0.25;
  cr_assert_eq(Found(Answer(body, "1.0000"), PromiseKind::kWrongCoverage), 1);
}

Test(HistoryChecker, NoticesAnotherRequestsAnswer) {
  json body = WholeBody();
  body["request_id"] = "q-2";
  cr_assert_eq(Found(Answer(body), PromiseKind::kWrongRequest), 1);
}

Test(HistoryChecker, NoticesHitsOfAnotherQuery) {
  CallRecord call = Answer(WholeBody());
  call.subject = "flood";
  cr_assert_eq(Found(call, PromiseKind::kWrongHits), 1);
}

Test(HistoryChecker, NoticesATruncatedBody) {
  CallRecord call = Answer(WholeBody());
  call.body.resize(call.body.size() / 2);
  cr_assert_eq(Found(call, PromiseKind::kMalformed), 1);
}

Test(HistoryChecker, NoticesARecordOfAnotherSnapshot) {
  const std::string text = TrueRecordText(FrontId("gastreg"), kSnapshot, "r-1");
  const json body = {{"request_id", "q-1"},
                     {"snapshot", "1.6"},
                     {"record", {{"id", "r-1"}, {"text", text}}}};
  CallRecord call = Answer(body);
  call.kind = CallKind::kRecord;
  call.front = FrontId("gastreg");
  call.subject = "r-1";
  call.headers["Knapweed-Snapshot"] = "1.6";
  cr_assert_eq(Found(call, PromiseKind::kWrongHits), 1);
}

Test(HistoryChecker, NoticesANotRunThatRan) {
  HistoryChecker checker({Truth()});
  checker.Check(Refusal("not_run"));
  cr_assert(checker.broken().empty());
  checker.CheckExecutions({.requests = {{"q-1", 1}}});
  cr_assert_eq(checker.totals().at(PromiseKind::kNotRunButRan), 1);
}

Test(HistoryChecker, AnUnknownOutcomeMayHaveRun) {
  HistoryChecker checker({Truth()});
  checker.Check(Refusal("unknown"));
  checker.CheckExecutions({.requests = {{"q-1", 1}}});
  cr_assert(checker.broken().empty());
}

Test(HistoryChecker, NoticesAKeyThatRanOnTwoTargets) {
  HistoryChecker checker({Truth()});
  checker.CheckExecutions({.keys = {{"k-1", 2}, {"k-2", 1}}});
  cr_assert_eq(checker.totals().at(PromiseKind::kKeyRanTwice), 1);
}

Test(HistoryChecker, NoticesARefusalWithoutRetryAfter) {
  CallRecord call = Refusal("not_run");
  call.headers.erase("Retry-After");
  cr_assert_eq(Found(call, PromiseKind::kMalformed), 1);
}

Test(HistoryChecker, NoticesARefusalWithoutOutcome) {
  CallRecord call = Refusal("not_run");
  call.headers.erase("Knapweed-Outcome");
  cr_assert_eq(Found(call, PromiseKind::kMalformed), 1);
}

}  // namespace
}  // namespace knapweedroad
