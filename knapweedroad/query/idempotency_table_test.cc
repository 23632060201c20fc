#include "knapweedroad/query/idempotency_table.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::seconds;

// The table of a host that has been responsible for all keys for a day.
class IdempotencyTableFixture {
 public:
  explicit IdempotencyTableFixture(size_t max_keys = 10)
      : table({.resend_window = seconds(60),
               .max_keys = max_keys,
               .max_answer_bytes = 100,
               .responsible_since = [this](std::string_view) {
                 return this->since;
               }}) {}

  TimePoint At(int second) const {
    return TimePoint(std::chrono::hours(24)) + seconds(second);
  }

  BeginResult Begin(const char* key, int second, WaiterId waiter = 0) {
    return this->table.Begin(key, "r-1", waiter, this->At(second),
                             this->At(second + 5));
  }

  std::vector<WaiterId> Finish(const char* key,
                               const RecordResult& result,
                               int second) {
    return this->table.Finish(key, result, this->At(second));
  }

  std::optional<TimePoint> since = TimePoint(seconds(0));
  IdempotencyTable table;
};

RecordResult Record(const char* body) {
  return RecordReply{.body = body};
}

RecordResult Refusal(RunOutcome outcome) {
  return QueryRefusal{.outcome = outcome};
}

RunOutcome OutcomeOf(const BeginResult& start) {
  return std::get<QueryRefusal>(*start.result).outcome;
}

Test(IdempotencyTable, AResendWaitsForTheRunAndGetsItsAnswer) {
  // Guards against a second run when the caller resends through another host
  // while the first lookup runs.
  IdempotencyTableFixture fixture;
  cr_assert(fixture.Begin("k", 0).decision == BeginDecision::kRun);
  cr_assert(fixture.Begin("k", 1, 7).decision == BeginDecision::kWait);
  const auto waiters = fixture.Finish("k", Record("first"), 2);
  cr_assert(waiters == std::vector<WaiterId>{7});
  const auto again = fixture.Begin("k", 3);
  cr_assert(again.decision == BeginDecision::kAnswer);
  cr_assert(*again.result == Record("first"));
}

Test(IdempotencyTable, StoresAnUnknownOutcome) {
  IdempotencyTableFixture fixture;
  fixture.Begin("k", 0);
  fixture.Finish("k", Refusal(RunOutcome::kUnknown), 1);
  cr_assert(OutcomeOf(fixture.Begin("k", 2)) == RunOutcome::kUnknown);
}

Test(IdempotencyTable, AKeyThatDidNotRunMayRunAgain) {
  IdempotencyTableFixture fixture;
  fixture.Begin("k", 0);
  fixture.Begin("k", 0, 7);
  cr_assert_eq(fixture.Finish("k", Refusal(RunOutcome::kNotRun), 1).size(), 1);
  cr_assert(fixture.Begin("k", 2).decision == BeginDecision::kRun);
}

Test(IdempotencyTable, AKeyThatMayHaveRunBeforeTheTakeoverNeverRuns) {
  // Guards against a second run when the responsible host fails during a lookup
  // and the next host has no record of the key. The caller resends within the
  // window after the takeover, and again after it.
  IdempotencyTableFixture fixture;
  fixture.since = fixture.At(0);
  cr_assert(OutcomeOf(fixture.Begin("k", 59)) == RunOutcome::kUnknown);
  cr_assert(OutcomeOf(fixture.Begin("k", 100)) == RunOutcome::kUnknown);
  cr_assert(fixture.Begin("new", 100).decision == BeginDecision::kRun);
}

Test(IdempotencyTable, RefusesNewKeysWhileNotResponsible) {
  IdempotencyTableFixture fixture;
  fixture.since = std::nullopt;
  cr_assert(OutcomeOf(fixture.Begin("k", 0)) == RunOutcome::kNotRun);
}

Test(IdempotencyTable, EachSendRestartsTheResendWindow) {
  IdempotencyTableFixture fixture;
  fixture.Begin("k", 0);
  fixture.Finish("k", Record("first"), 1);
  for (int second = 50; second < 500; second += 50) {
    cr_assert(fixture.Begin("k", second).decision == BeginDecision::kAnswer);
  }
  cr_assert(fixture.Begin("k", 520).decision == BeginDecision::kRun,
            "a key may run again 70 s after its last send");
}

Test(IdempotencyTable, RefusesNewKeysWhenFullAndEvictsNone) {
  // Guards against a second run after a burst of lookups has evicted a key that
  // may still be resent.
  IdempotencyTableFixture fixture(2);
  fixture.Begin("a", 0);
  fixture.Finish("a", Record("first"), 1);
  fixture.Begin("b", 10);
  const auto refused = fixture.Begin("c", 20);
  cr_assert(OutcomeOf(refused) == RunOutcome::kNotRun);
  cr_assert(std::get<QueryRefusal>(*refused.result).retry_after == seconds(40));
  cr_assert(*fixture.Begin("a", 21).result == Record("first"));
}

Test(IdempotencyTable, ARunPastItsDeadlineHasUnknownOutcome) {
  IdempotencyTableFixture fixture;
  fixture.Begin("k", 0);
  cr_assert(OutcomeOf(fixture.Begin("k", 6)) == RunOutcome::kUnknown);
}

Test(IdempotencyTable, AnAnswerTooLargeToStoreCountsAsRun) {
  IdempotencyTableFixture fixture;
  fixture.Begin("k", 0);
  fixture.Finish("k", Record(std::string(101, 'x').c_str()), 1);
  cr_assert(OutcomeOf(fixture.Begin("k", 2)) == RunOutcome::kRun);
}

Test(IdempotencyTable, RefusesAKeyWithAnotherRequest) {
  IdempotencyTableFixture fixture;
  fixture.Begin("k", 0);
  const auto other =
      fixture.table.Begin("k", "r-2", 0, fixture.At(1), fixture.At(6));
  cr_assert_eq(std::get<QueryRefusal>(*other.result).status, 400);
}

Test(IdempotencyTable, AHandoverTransfersAllKeys) {
  IdempotencyTableFixture before;
  before.Begin("done", 0);
  before.Finish("done", Record("first"), 1);
  before.Begin("running", 2);
  IdempotencyTableFixture after;
  after.table.Import(before.table.Export(before.At(3)), after.At(10));
  cr_assert(*after.Begin("done", 11).result == Record("first"));
  cr_assert(OutcomeOf(after.Begin("running", 11)) == RunOutcome::kUnknown);
}

Test(IdempotencyTable, DoesNotReturnARemovedWaiter) {
  IdempotencyTableFixture fixture;
  fixture.Begin("k", 0);
  fixture.Begin("k", 1, 7);
  fixture.table.RemoveWaiter("k", 7);
  cr_assert(fixture.Finish("k", Record("first"), 2).empty());
}

Test(IdempotencyTable, AResentKeyDoesNotDelayTheExpiryOfOthers) {
  IdempotencyTableFixture fixture(2);
  fixture.Begin("a", 0);
  fixture.Begin("b", 10);
  fixture.Begin("a", 50);
  cr_assert(fixture.Begin("c", 75).decision == BeginDecision::kRun);
}

Test(IdempotencyTable, AnImportedKeyExpiresByItsOwnLastSend) {
  IdempotencyTableFixture fixture(2);
  fixture.Begin("young", 50);
  IdempotencyRecord old{"old", "r-1", Record("first"), seconds(40)};
  fixture.table.Import({old}, fixture.At(50));
  cr_assert(fixture.Begin("c", 75).decision == BeginDecision::kRun);
}

Test(IdempotencyTable, AnImportDoesNotChangeExistingKeys) {
  // Guards against a second run when an import adds a second entry for a key:
  // the expiry of the older entry would free the key too early.
  IdempotencyTableFixture fixture;
  fixture.Begin("k", 50);
  IdempotencyRecord old{"k", "r-1", Record("first"), seconds(55)};
  fixture.table.Import({old}, fixture.At(50));
  cr_assert(fixture.Begin("k", 60).decision != BeginDecision::kRun);
}

Test(IdempotencyTable, KeepsTheFirstResult) {
  IdempotencyTableFixture fixture;
  fixture.Begin("k", 0);
  fixture.Finish("k", Refusal(RunOutcome::kUnknown), 1);
  fixture.Finish("k", Refusal(RunOutcome::kNotRun), 2);
  cr_assert(OutcomeOf(fixture.Begin("k", 3)) == RunOutcome::kUnknown);
}

Test(IdempotencyTable, ARunningKeyDoesNotExpire) {
  IdempotencyTableFixture fixture;
  fixture.table.Begin("k", "r-1", 0, fixture.At(0), fixture.At(100));
  cr_assert(fixture.Begin("k", 70, 7).decision == BeginDecision::kWait);
}

}  // namespace
}  // namespace knapweedroad
