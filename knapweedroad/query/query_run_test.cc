#include "knapweedroad/query/query_run.h"

#include <criterion/criterion.h>

#include "knapweedroad/query/query_test_world.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

Test(QueryRun, AnswersWholeAsSoonAsTheLastServiceHas) {
  QueryTestWorld world;
  auto run = world.MakeRun();
  const auto sends = Sends(run.Start(world.At(0)));
  cr_assert_eq(sends.size(), 2);
  cr_assert(
      run.OnReply(sends[0].attempt, world.Reply("a"), world.At(5)).empty());
  const auto last =
      run.OnReply(sends[1].attempt, world.Reply("b"), world.At(6));
  const auto answer = Answer(last);
  cr_assert(answer.has_value());
  cr_assert(answer->coverage.IsWhole());
  cr_assert_eq(answer->hits.size(), 2);
  cr_assert(run.finished());
}

}  // namespace
}  // namespace knapweedroad
