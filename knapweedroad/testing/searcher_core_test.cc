#include "knapweedroad/testing/searcher_core.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{};
constexpr SnapshotId kFirst{.generation = 1, .index_version = 1};

SearcherCoreOptions Options() {
  return {.target = TargetId("redactie-1-1"),
          .front = FrontId("redactie"),
          .service = ServiceId("redactie-1"),
          .slots = 2,
          .cold_slots = 1,
          .connections = 3,
          .starts_cold = false,
          .warm_after = 3};
}

WorkRequest Search(const std::string& attempt) {
  return {.kind = WorkKind::kSearch,
          .attempt_id = attempt,
          .request_id = "q-" + attempt,
          .snapshot = kFirst,
          .subject = "storm"};
}

WorkRequest Lookup(const std::string& attempt, const std::string& key) {
  return {.kind = WorkKind::kLookup,
          .attempt_id = attempt,
          .request_id = "l-" + attempt,
          .idempotency_key = key,
          .subject = "r-1"};
}

uint64_t Seen(const SearcherCore& core, ViolationKind kind) {
  const auto found = core.counts().violations.find(kind);
  return found == core.counts().violations.end() ? 0 : found->second;
}

Test(SearcherCore, ShedsAndCountsWhatIsOverItsSlots) {
  SearcherCore core(Options(), kStart);
  cr_assert(core.Begin(Search("a"), kStart).has_value());
  cr_assert(core.Begin(Search("b"), kStart).has_value());
  const auto third = core.Begin(Search("c"), kStart);
  cr_assert(!third.has_value());
  cr_assert(third.error().outcome == RunOutcome::kNotRun);
  cr_assert_eq(core.counts().peak_in_flight, 3);
  cr_assert_eq(Seen(core, ViolationKind::kOverSlots), 1);
  cr_assert_eq(core.RequestExecutions("q-c"), 0);
}

Test(SearcherCore, AnswersTheTrueHitsOfTheSnapshotAsked) {
  SearcherCore core(Options(), kStart);
  const auto ticket = core.Begin(Search("a"), kStart);
  const auto answer = core.Finish(ticket->number, kStart);
  cr_assert(answer.has_value());
  cr_assert_eq(answer->attempt_id, "a");
  const IndexPart part{.front = FrontId("redactie"),
                       .snapshot = kFirst,
                       .service = ServiceId("redactie-1")};
  cr_assert(answer->hits == TrueHits(part, "storm"));
}

Test(SearcherCore, KeepsTwoSnapshotsAndRefusesOthers) {
  SearcherCore core(Options(), kStart);
  core.AddSnapshot({.generation = 1, .index_version = 2}, std::nullopt);
  cr_assert(core.Begin(Search("a"), kStart).has_value());
  core.AddSnapshot({.generation = 2, .index_version = 3}, 12);
  const auto refused = core.Begin(Search("b"), kStart);
  cr_assert(!refused.has_value());
  cr_assert_eq(refused.error().status, 409);
}

Test(SearcherCore, WarmsUpByWorkDone) {
  SearcherCoreOptions options = Options();
  options.starts_cold = true;
  SearcherCore core(options, kStart);
  for (int i = 0; i < 3; ++i) {
    cr_assert(core.state() == TargetState::kCold);
    const auto ticket = core.Begin(Search(std::to_string(i)), kStart);
    cr_assert(core.Finish(ticket->number, kStart).has_value());
  }
  cr_assert(core.state() == TargetState::kReady);
}

Test(SearcherCore, FallsOverWhenPushedPastItsColdLimit) {
  SearcherCore core(Options(), kStart);
  core.FallCold();
  const auto first = core.Begin(Search("a"), kStart);
  for (int i = 0; i < 3; ++i) {
    cr_assert(!core.Begin(Search("more"), kStart).has_value());
  }
  cr_assert_eq(core.counts().falls_over, 1);
  cr_assert(core.Finish(first->number, kStart).has_value());
  cr_assert(!core.Begin(Search("b"), kStart + milliseconds(500)).has_value());
  cr_assert(core.Begin(Search("c"), kStart + milliseconds(1001)).has_value());
  cr_assert_eq(core.counts().peak_in_flight_cold, 2);
}

Test(SearcherCore, TellsOverloadBeforeEvidenceFromOverloadAfterIt) {
  SearcherCore core(Options(), kStart);
  cr_assert(core.Begin(Search("a"), kStart).has_value());
  core.FallCold();
  core.Begin(Search("b"), kStart);
  cr_assert_eq(Seen(core, ViolationKind::kOverColdLimitUnknown), 1);
  core.Begin(Search("c"), kStart + milliseconds(101));
  cr_assert_eq(Seen(core, ViolationKind::kOverColdLimit), 1);
}

Test(SearcherCore, AReportThatTellsTheFallIsEvidence) {
  SearcherCore core(Options(), kStart);
  cr_assert(core.Begin(Search("a"), kStart).has_value());
  core.FallCold();
  cr_assert(core.MakeReport().state == TargetState::kCold);
  core.ReportTaken(kStart);
  core.Begin(Search("b"), kStart + milliseconds(101));
  cr_assert_eq(Seen(core, ViolationKind::kOverColdLimit), 1);
}

Test(SearcherCore, ALyingReportIsNoEvidence) {
  SearcherCore core(Options(), kStart);
  core.SetFaults({.reports_ready = true, .reports_idle = true});
  cr_assert(core.Begin(Search("a"), kStart).has_value());
  core.FallCold();
  const TargetReport report = core.MakeReport();
  cr_assert(report.state == TargetState::kReady);
  cr_assert_eq(report.in_flight, 0);
  core.ReportTaken(kStart);
  core.Begin(Search("b"), kStart + seconds(1));
  cr_assert_eq(Seen(core, ViolationKind::kOverColdLimitUnknown), 1);
}

Test(SearcherCore, ACancelFreesTheSlot) {
  SearcherCore core(Options(), kStart);
  const auto ticket = core.Begin(Search("a"), kStart);
  cr_assert(core.Cancel("a") == ticket->number);
  cr_assert_eq(core.in_flight(), 0);
  cr_assert(!core.Cancel("a").has_value());
  cr_assert(!core.Finish(ticket->number, kStart).has_value());
}

Test(SearcherCore, DropsWorkPastItsDeadline) {
  SearcherCore core(Options(), kStart);
  WorkRequest late = Search("a");
  late.remaining = Duration::zero();
  const auto refused = core.Begin(late, kStart);
  cr_assert_eq(refused.error().status, 504);
  cr_assert(refused.error().outcome == RunOutcome::kNotRun);

  WorkRequest tight = Search("b");
  tight.remaining = std::chrono::microseconds(1);
  const auto ticket = core.Begin(tight, kStart);
  cr_assert(ticket->run_for == std::chrono::microseconds(1));
  const auto dropped = core.Finish(ticket->number, kStart + ticket->run_for);
  cr_assert(dropped.error().outcome == RunOutcome::kRun);
}

Test(SearcherCore, NoticesAKeyThatRunsTwice) {
  SearcherCore core(Options(), kStart);
  core.Begin(Lookup("a", "k-1"), kStart);
  core.Begin(Lookup("b", "k-1"), kStart);
  cr_assert_eq(core.KeyExecutions("k-1"), 2);
  cr_assert_eq(Seen(core, ViolationKind::kKeyRanTwice), 1);
}

Test(SearcherCore, NoticesWorkThatComesTooLongAfterLeavingOrZoneOut) {
  SearcherCore core(Options(), kStart);
  core.Leave(kStart);
  core.MarkZone(true, kStart);
  core.Begin(Search("a"), kStart + seconds(3));
  cr_assert_eq(Seen(core, ViolationKind::kWorkAfterLeaving), 0);
  cr_assert_eq(Seen(core, ViolationKind::kWorkAfterZoneOut), 0);
  core.Begin(Search("b"), kStart + milliseconds(3001));
  cr_assert_eq(Seen(core, ViolationKind::kWorkAfterLeaving), 1);
  cr_assert_eq(Seen(core, ViolationKind::kWorkAfterZoneOut), 1);
}

Test(SearcherCore, RefusesConnectionsOverItsCap) {
  SearcherCore core(Options(), kStart);
  for (int i = 0; i < 3; ++i) {
    cr_assert(core.ConnectionOpened(kStart));
  }
  cr_assert(!core.ConnectionOpened(kStart));
  cr_assert_eq(Seen(core, ViolationKind::kOverConnections), 1);
  core.ConnectionClosed();
  core.ConnectionClosed();
  cr_assert(core.ConnectionOpened(kStart));
}

Test(SearcherCore, ARestartIsANewIncarnationThatLostItsWork) {
  SearcherCore core(Options(), kStart);
  const TargetReport before = core.MakeReport();
  core.Begin(Search("a"), kStart);
  core.Restart();
  const TargetReport after = core.MakeReport();
  cr_assert_gt(after.incarnation, before.incarnation);
  cr_assert(after.state == TargetState::kCold);
  cr_assert_eq(core.in_flight(), 0);
}

Test(SearcherCore, ACrossedAnswerIsAnotherRequests) {
  SearcherCore core(Options(), kStart);
  core.SetFaults({.crossed_probability = 1.0});
  const auto ticket = core.Begin(Search("a"), kStart);
  const auto answer = core.Finish(ticket->number, kStart);
  cr_assert_neq(answer->attempt_id, "a");
}

Test(SearcherCore, StragglesByTheFactorOnTheSameSeed) {
  SearcherCore plain(Options(), kStart);
  SearcherCore straggling(Options(), kStart);
  straggling.SetFaults({.straggle_probability = 1.0, .straggle_factor = 20.0});
  const Duration usual = plain.Begin(Search("a"), kStart)->run_for;
  const Duration slow = straggling.Begin(Search("a"), kStart)->run_for;
  cr_assert_gt(slow.count(), 19 * usual.count());
}

}  // namespace
}  // namespace knapweedroad
