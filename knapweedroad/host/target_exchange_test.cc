#include "knapweedroad/host/target_exchange.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

AttemptCall Search() {
  return {.attempt = AttemptId("h-1"), .work = AttemptWork::kSearch};
}

HttpResponse Answer(int status) {
  return {
      .status = status,
      .headers = {{"Knapweed-Attempt-Id", "h-1"}, {"Knapweed-Snapshot", "1.5"}},
      .body = "{}"};
}

// A caller reads another caller's hits: an answer comes late or crossed on a
// connection, and whoever waits there takes it for its own.
Test(TargetExchange, AnAnswerWithAnotherAttemptsIdIsNeverPassedOn) {
  HttpResponse crossed = Answer(200);
  crossed.headers["Knapweed-Attempt-Id"] = "h-2";
  const ExchangeEnd end = ReadTargetAnswer(Search(), crossed, {});
  cr_assert(end.reply.end == AttemptEnd::kBroken);
  cr_assert(end.reply.body.empty());
  cr_assert(end.reply.outcome == RunOutcome::kUnknown);
}

// A letter is sent twice: a refusal after the work had begun was taken for one
// before it, and the lookup was repeated. Only the target's own word counts.
Test(TargetExchange, ARefusalWithoutAnOutcomeIsUnknown) {
  const ExchangeEnd end = ReadTargetAnswer(Search(), Answer(503), {});
  cr_assert(end.reply.outcome == RunOutcome::kUnknown);
  HttpResponse shed = Answer(503);
  shed.headers["Knapweed-Outcome"] = "not_run";
  const ExchangeEnd refused = ReadTargetAnswer(Search(), shed, {});
  cr_assert(refused.reply.end == AttemptEnd::kShed);
  cr_assert(refused.reply.outcome == RunOutcome::kNotRun);
}

Test(TargetExchange, OnlyWhatWasNeverWrittenDidNotRun) {
  const NetError unsent{.kind = NetErrorKind::kConnect, .written = false};
  const NetError sent{.kind = NetErrorKind::kClosed, .written = true};
  cr_assert(ReadTargetFailure(unsent).reply.outcome == RunOutcome::kNotRun);
  cr_assert(ReadTargetFailure(sent).reply.outcome == RunOutcome::kUnknown);
}

// A target with two slots runs three requests: a connection broke with one on
// it, the target ran on, and the same attempt was written again at once.
Test(TargetExchange, WhatWasWrittenIsNotWrittenAgain) {
  NetError error{.kind = NetErrorKind::kClosed,
                 .written = true,
                 .reused_connection = true};
  cr_assert(!MayRepeat(error));
  error.written = false;
  cr_assert(MayRepeat(error));
}

Test(TargetExchange, ASearchWithoutASnapshotIsBroken) {
  HttpResponse bare = Answer(200);
  bare.headers.erase("Knapweed-Snapshot");
  cr_assert(ReadTargetAnswer(Search(), bare, {}).reply.end ==
            AttemptEnd::kBroken);
}

}  // namespace
}  // namespace knapweedroad
