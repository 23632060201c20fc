#include "knapweedroad/query/idempotency_table.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::seconds;

// A table of a host that has been responsible for a day.
class World {
 public:
  explicit World(size_t max_keys = 10)
      : table({.window = seconds(60),
               .max_keys = max_keys,
               .max_answer_bytes = 100,
               .responsible_since = [this](std::string_view) {
                 return this->since;
               }}) {}

  TimePoint At(int second) const {
    return TimePoint(std::chrono::hours(24)) + seconds(second);
  }

  KeyStart Begin(const char* key, int second, WaiterId waiter = 0) {
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

RunOutcome OutcomeOf(const KeyStart& start) {
  return std::get<QueryRefusal>(*start.result).outcome;
}

Test(IdempotencyTable, AResendWaitsForTheFirstAndGetsItsAnswer) {
  // Two letters: the caller resends through another host while the first
  // lookup runs, and both run.
  World world;
  cr_assert(world.Begin("k", 0).decision == KeyDecision::kRun);
  cr_assert(world.Begin("k", 1, 7).decision == KeyDecision::kWait);
  const auto waiters = world.Finish("k", Record("first"), 2);
  cr_assert(waiters == std::vector<WaiterId>{7});
  const auto again = world.Begin("k", 3);
  cr_assert(again.decision == KeyDecision::kKnown);
  cr_assert(*again.result == Record("first"));
}

Test(IdempotencyTable, AnUnknownOutcomeStaysUnknown) {
  World world;
  world.Begin("k", 0);
  world.Finish("k", Refusal(RunOutcome::kUnknown), 1);
  cr_assert(OutcomeOf(world.Begin("k", 2)) == RunOutcome::kUnknown);
}

Test(IdempotencyTable, AKeyThatDidNotRunIsFreeAgain) {
  World world;
  world.Begin("k", 0);
  world.Begin("k", 0, 7);
  cr_assert_eq(world.Finish("k", Refusal(RunOutcome::kNotRun), 1).size(), 1);
  cr_assert(world.Begin("k", 2).decision == KeyDecision::kRun);
}

Test(IdempotencyTable, AKeyThatMayHaveBegunBeforeTheTakeoverNeverRuns) {
  // Two letters: the responsible host dies with a lookup in hand, the caller
  // resends, and the next host has never heard of the key. It resends again
  // after the window has passed since the takeover.
  World world;
  world.since = world.At(0);
  cr_assert(OutcomeOf(world.Begin("k", 59)) == RunOutcome::kUnknown);
  cr_assert(OutcomeOf(world.Begin("k", 100)) == RunOutcome::kUnknown);
  cr_assert(world.Begin("new", 100).decision == KeyDecision::kRun);
}

Test(IdempotencyTable, AHostThatIsNotResponsibleBeginsNothing) {
  World world;
  world.since = std::nullopt;
  cr_assert(OutcomeOf(world.Begin("k", 0)) == RunOutcome::kNotRun);
}

Test(IdempotencyTable, EachSendStartsTheWindowAnew) {
  World world;
  world.Begin("k", 0);
  world.Finish("k", Record("first"), 1);
  for (int second = 50; second < 500; second += 50) {
    cr_assert(world.Begin("k", second).decision == KeyDecision::kKnown);
  }
  cr_assert(world.Begin("k", 520).decision == KeyDecision::kRun,
            "the stated bound: 70 s after the last send");
}

Test(IdempotencyTable, FullOfYoungKeysItRefusesNewOnesAndForgetsNone) {
  // Two letters: a burst of lookups pushes an unfinished key out of memory.
  World world(2);
  world.Begin("a", 0);
  world.Finish("a", Record("first"), 1);
  world.Begin("b", 10);
  const auto refused = world.Begin("c", 20);
  cr_assert(OutcomeOf(refused) == RunOutcome::kNotRun);
  cr_assert(std::get<QueryRefusal>(*refused.result).retry_after == seconds(40));
  cr_assert(*world.Begin("a", 21).result == Record("first"));
}

Test(IdempotencyTable, ARunWhoseEndWasNotSeenIsUnknown) {
  World world;
  world.Begin("k", 0);
  cr_assert(OutcomeOf(world.Begin("k", 6)) == RunOutcome::kUnknown);
}

Test(IdempotencyTable, AnAnswerThatIsNotKeptStillRan) {
  World world;
  world.Begin("k", 0);
  world.Finish("k", Record(std::string(101, 'x').c_str()), 1);
  cr_assert(OutcomeOf(world.Begin("k", 2)) == RunOutcome::kRun);
}

Test(IdempotencyTable, AKeyIsOfOneRequest) {
  World world;
  world.Begin("k", 0);
  const auto other = world.table.Begin("k", "r-2", 0, world.At(1), world.At(6));
  cr_assert_eq(std::get<QueryRefusal>(*other.result).status, 400);
}

Test(IdempotencyTable, AHandoverTakesAllKeysAlong) {
  World before;
  before.Begin("done", 0);
  before.Finish("done", Record("first"), 1);
  before.Begin("running", 2);
  World after;
  after.table.Import(before.table.Export(before.At(3)), after.At(10));
  cr_assert(*after.Begin("done", 11).result == Record("first"));
  cr_assert(OutcomeOf(after.Begin("running", 11)) == RunOutcome::kUnknown);
}

Test(IdempotencyTable, AWaiterThatLeftIsNotAnswered) {
  World world;
  world.Begin("k", 0);
  world.Begin("k", 1, 7);
  world.table.Leave("k", 7);
  cr_assert(world.Finish("k", Record("first"), 2).empty());
}

Test(IdempotencyTable, AKeyThatIsSentAgainDoesNotKeepOthersInMemory) {
  World world(2);
  world.Begin("a", 0);
  world.Begin("b", 10);
  world.Begin("a", 50);
  cr_assert(world.Begin("c", 75).decision == KeyDecision::kRun);
}

Test(IdempotencyTable, AnImportedKeyIsForgottenByItsOwnAge) {
  World world(2);
  world.Begin("young", 50);
  IdempotencyRecord old{"old", "r-1", Record("first"), seconds(40)};
  world.table.Import({old}, world.At(50));
  cr_assert(world.Begin("c", 75).decision == KeyDecision::kRun);
}

Test(IdempotencyTable, AnImportLeavesKnownKeysAlone) {
  // Two letters: a key is imported twice, and forgetting one of the copies
  // frees it while the other is young.
  World world;
  world.Begin("k", 50);
  IdempotencyRecord old{"k", "r-1", Record("first"), seconds(55)};
  world.table.Import({old}, world.At(50));
  cr_assert(world.Begin("k", 60).decision != KeyDecision::kRun);
}

Test(IdempotencyTable, TheFirstResultStands) {
  World world;
  world.Begin("k", 0);
  world.Finish("k", Refusal(RunOutcome::kUnknown), 1);
  world.Finish("k", Refusal(RunOutcome::kNotRun), 2);
  cr_assert(OutcomeOf(world.Begin("k", 3)) == RunOutcome::kUnknown);
}

Test(IdempotencyTable, AKeyThatRunsIsNeverForgotten) {
  World world;
  world.table.Begin("k", "r-1", 0, world.At(0), world.At(100));
  cr_assert(world.Begin("k", 70, 7).decision == KeyDecision::kWait);
}

}  // namespace
}  // namespace knapweedroad
