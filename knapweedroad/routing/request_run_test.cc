#include "knapweedroad/routing/request_run.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <initializer_list>
#include <map>
#include <string>
#include <vector>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(1000)};

// A run over services "a", "b", "c" and so on, of three targets each: "a1",
// "a2" and "a3" for "a".
class Fixture {
 public:
  explicit Fixture(size_t services) {
    for (size_t i = 0; i < services; ++i) {
      this->options.services.emplace_back(
          std::string(1, static_cast<char>('a' + i)));
    }
    this->options.is_scatter = services > 1;
    this->options.idempotent = true;
    this->options.max_attempts = 2;
    this->options.min_share = 0.6;
    this->options.latency_target_at = kStart + milliseconds(100);
    this->options.deadline = kStart + milliseconds(1000);
    this->options.hedge_delay = milliseconds(20);
    this->options.busy_retry_after = milliseconds(25);
    this->options.no_target_retry_after = milliseconds(400);
    this->hooks.pick_target =
        [this](const ServiceId& service,
               std::span<const TargetId> tried) -> std::optional<TargetId> {
      for (int i = 1; i <= 3; ++i) {
        const TargetId target(service.str() + std::to_string(i));
        const bool is_tried = std::ranges::find(tried, target) != tried.end();
        if (!is_tried && !this->down.contains(service.str())) {
          return target;
        }
      }
      return std::nullopt;
    };
    this->hooks.has_untried_target = [this](const ServiceId& service,
                                            std::span<const TargetId> tried) {
      return !this->down.contains(service.str()) && tried.size() < 3;
    };
    this->hooks.spend_extra_attempt = [this](const ServiceId&, bool) {
      return this->extra_budget-- > 0;
    };
  }

  RequestRun MakeRun() { return {this->options, this->hooks}; }

  RequestRunOptions options;
  RunHooks hooks;
  std::map<std::string, bool> down;
  int extra_budget = 100;
};

TargetAnswer OkAnswer(const char* seal) {
  return {.status = 200, .seal = seal, .body = "x"};
}

Test(request_run, a_scatter_ends_with_its_last_answer) {
  Fixture fixture(3);
  RequestRun run = fixture.MakeRun();
  cr_assert(run.Start(kStart).starts.size() == 3);
  cr_expect(!run.OnAnswer(0, OkAnswer("1"), kStart).end);
  cr_expect(!run.OnAnswer(1, OkAnswer("2"), kStart).end);
  const RunStep last = run.OnAnswer(2, OkAnswer("3"), kStart + milliseconds(9));
  cr_assert(last.end && last.end->kind == RunEndKind::kParts);
  cr_expect(last.end->parts.size() == 3 && last.end->missing_parts == 0);
}

// Guards against waiting for a target that stalls for a tenth of a second, as
// each does occasionally. Without hedging this delays every third answer of a
// scatter over ten shards.
Test(request_run, a_late_attempt_is_hedged) {
  Fixture fixture(3);
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  run.OnAnswer(0, OkAnswer("1"), kStart + milliseconds(9));
  const RunStep waiting =
      run.OnAnswer(1, OkAnswer("2"), kStart + milliseconds(9));
  cr_expect(waiting.wake_at == kStart + milliseconds(20));
  const RunStep hedge = run.OnWake(kStart + milliseconds(20));
  cr_assert(hedge.starts.size() == 1);
  cr_expect(hedge.starts[0].target == TargetId("c2"));
  const RunStep end = run.OnAnswer(3, OkAnswer("3"), kStart + milliseconds(31));
  cr_expect(end.end && end.end->missing_parts == 0);
  cr_expect(run.extra_attempt_count() == 1);
}

// Guards against counting a shard twice whose attempt and hedge are both
// answered.
Test(request_run, each_service_contributes_one_part) {
  Fixture fixture(3);
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  run.OnAnswer(0, OkAnswer("1"), kStart);
  run.OnWake(kStart + milliseconds(20));
  run.OnAnswer(1, OkAnswer("2"), kStart + milliseconds(25));
  run.OnAnswer(3, OkAnswer("2b"), kStart + milliseconds(26));
  const RunStep end = run.OnAnswer(2, OkAnswer("3"), kStart + milliseconds(27));
  cr_assert(end.end);
  cr_expect(end.end->parts.size() == 3);
}

// Guards against callers that wait for the slowest shard although enough others
// have answered. At the latency target the answer is sent with its true count
// of missing parts.
Test(request_run, at_the_latency_target_the_smallest_share_is_enough) {
  Fixture fixture(3);
  fixture.extra_budget = 0;
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  run.OnAnswer(0, OkAnswer("1"), kStart + milliseconds(9));
  run.OnAnswer(1, OkAnswer("2"), kStart + milliseconds(9));
  cr_expect(!run.OnWake(kStart + milliseconds(99)).end);
  const RunStep end = run.OnWake(kStart + milliseconds(100));
  cr_assert(end.end && end.end->kind == RunEndKind::kParts);
  cr_expect(end.end->missing_parts == 1);
}

// Guards against waiting for a shard whose targets all reject this host's
// connections after a power loss. Nothing is sent to them, so each target is
// tried without counting as an extra attempt. The answer is then sent without
// the shard.
Test(request_run, a_shard_that_rejects_all_connections_is_not_waited_for) {
  Fixture fixture(3);
  fixture.extra_budget = 0;
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  run.OnAnswer(0, OkAnswer("1"), kStart);
  run.OnAnswer(1, OkAnswer("2"), kStart);
  const RunStep second =
      run.OnAttemptFailed(2, AttemptFailure::kNotSent, kStart);
  cr_assert(second.starts.size() == 1);
  const RunStep third =
      run.OnAttemptFailed(3, AttemptFailure::kNotSent, kStart);
  cr_assert(third.starts.size() == 1);
  const RunStep end = run.OnAttemptFailed(4, AttemptFailure::kNotSent, kStart);
  cr_assert(end.end && end.end->kind == RunEndKind::kParts);
  cr_expect(end.end->missing_parts == 1);
}

// Guards against sending a request that can't succeed: all targets of two of
// three shards are down. It is refused at once as not run.
Test(request_run, a_request_that_cannot_succeed_is_refused_before_sending) {
  Fixture fixture(3);
  fixture.down = {{"a", true}, {"b", true}};
  RequestRun run = fixture.MakeRun();
  const RunStep step = run.Start(kStart);
  cr_expect(step.starts.empty());
  cr_assert(step.end && step.end->kind == RunEndKind::kNotRun);
  cr_expect(step.end->retry_after == milliseconds(400));
}

// Guards against an answer that is delayed by a shard that stays down.
Test(request_run, a_service_without_targets_is_not_waited_for) {
  Fixture fixture(3);
  fixture.down = {{"b", true}};
  RequestRun run = fixture.MakeRun();
  cr_expect(run.Start(kStart).starts.size() == 2);
  run.OnAnswer(0, OkAnswer("1"), kStart + milliseconds(5));
  const RunStep end = run.OnAnswer(1, OkAnswer("3"), kStart + milliseconds(6));
  cr_assert(end.end && end.end->kind == RunEndKind::kParts);
  cr_expect(end.end->missing_parts == 1);
}

// Guards against running a request twice that isn't idempotent. It loses its
// connection after it was sent, so it may have run. It must neither be sent
// again nor be reported as not run.
Test(request_run, a_request_that_may_have_run_is_retried_only_if_idempotent) {
  Fixture fixture(1);
  fixture.options.idempotent = false;
  RequestRun run = fixture.MakeRun();
  cr_assert(run.Start(kStart).starts.size() == 1);
  const RunStep end =
      run.OnAttemptFailed(0, AttemptFailure::kMayHaveRun, kStart);
  cr_expect(end.starts.empty());
  cr_assert(end.end && end.end->kind == RunEndKind::kFailed);
}

// Guards against giving up such a request after a target declined it or could
// not be reached. Either proves that it has not run, so another target is
// tried, and the run may end as not run.
Test(request_run, after_proof_of_not_run_another_target_is_tried) {
  Fixture fixture(1);
  fixture.options.idempotent = false;
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  const RunStep second =
      run.OnAttemptFailed(0, AttemptFailure::kDeclined, kStart);
  cr_assert(second.starts.size() == 1);
  const RunStep third =
      run.OnAttemptFailed(1, AttemptFailure::kNotSent, kStart);
  cr_assert(third.starts.size() == 1);
  const RunStep end = run.OnAttemptFailed(2, AttemptFailure::kDeclined, kStart);
  cr_assert(end.end && end.end->kind == RunEndKind::kNotRun);
  cr_expect(end.end->retry_after == milliseconds(25));
}

// Guards against a run that ends as not run although its first attempt may have
// run: the hedge is declined, then the first attempt loses its connection.
Test(request_run, a_request_that_may_have_run_never_ends_as_not_run) {
  Fixture fixture(1);
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  cr_assert(run.OnWake(kStart + milliseconds(20)).starts.size() == 1);
  run.OnAttemptFailed(1, AttemptFailure::kDeclined, kStart + milliseconds(21));
  const RunStep end = run.OnAttemptFailed(0, AttemptFailure::kMayHaveRun,
                                          kStart + milliseconds(22));
  cr_assert(end.end);
  cr_expect(end.end->kind == RunEndKind::kFailed);
}

Test(request_run, an_error_answer_is_passed_on_when_no_other_target_answers) {
  Fixture fixture(1);
  fixture.options.max_attempts = 1;
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  const RunStep end =
      run.OnErrorAnswer(0, {.status = 500, .seal = "1"}, kStart);
  cr_assert(end.end && end.end->kind == RunEndKind::kAnswer);
  cr_expect(end.end->answer.status == 500);
}

Test(request_run, without_an_answer_the_run_ends_at_the_deadline) {
  Fixture fixture(1);
  fixture.extra_budget = 0;
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  cr_expect(!run.OnWake(kStart + milliseconds(999)).end);
  const RunStep end = run.OnWake(kStart + milliseconds(1000));
  cr_assert(end.end && end.end->kind == RunEndKind::kExpired);
}

// The process ends under a request that a target runs: its caller gets nothing,
// or the promise that it hasn't run.
Test(request_run, a_stopped_run_ends_at_once_and_says_what_is_known) {
  Fixture fixture(1);
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  const RunStep step = run.OnStop(kStart + milliseconds(10));
  cr_assert(step.end && step.starts.empty());
  cr_expect(step.end->kind == RunEndKind::kExpired);
  cr_expect(step.end->cause == "leaving");
  cr_expect(!run.OnStop(kStart + milliseconds(11)).end);
}

// Guards against failures that multiply the attempts.
Test(request_run, without_budget_no_extra_attempt_is_sent) {
  Fixture fixture(3);
  fixture.extra_budget = 0;
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  cr_expect(run.OnAttemptFailed(0, AttemptFailure::kMayHaveRun, kStart)
                .starts.empty());
  cr_expect(run.OnWake(kStart + milliseconds(20)).starts.empty());
  cr_expect(run.extra_attempt_count() == 0);
}

// Guards against an answer that waits until the latency target for an
// overloaded shard that was skipped. It is sent as soon as the others have
// answered.
Test(request_run, a_skipped_shard_is_not_waited_for) {
  Fixture fixture(3);
  fixture.hooks.choose_shards_to_skip = [](size_t max_shards) {
    cr_expect(max_shards == 1);
    return std::vector<size_t>{1};
  };
  RequestRun run = fixture.MakeRun();
  const RunStep first = run.Start(kStart);
  cr_assert(first.starts.size() == 2);
  run.OnAnswer(0, {.status = 200}, kStart + milliseconds(5));
  const RunStep step =
      run.OnAnswer(1, {.status = 200}, kStart + milliseconds(9));
  cr_assert(step.end.has_value());
  cr_expect(step.end->kind == RunEndKind::kParts);
  cr_expect(step.end->missing_parts == 1);
}

// Guards against a request that fails although a skipped shard could replace
// one that has failed.
Test(request_run, a_skipped_shard_is_asked_once_it_is_needed) {
  Fixture fixture(3);
  fixture.hooks.choose_shards_to_skip = [](size_t) {
    return std::vector<size_t>{1};
  };
  fixture.options.max_attempts = 1;
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  run.OnAnswer(0, {.status = 200}, kStart + milliseconds(5));
  const RunStep step = run.OnAttemptFailed(1, AttemptFailure::kMayHaveRun,
                                           kStart + milliseconds(9));
  cr_assert(!step.end.has_value());
  cr_assert(step.starts.size() == 1);
  cr_expect(step.starts[0].service_index == 1);
  const RunStep end =
      run.OnAnswer(2, {.status = 200}, kStart + milliseconds(20));
  cr_assert(end.end.has_value());
  cr_expect(end.end->kind == RunEndKind::kParts);
}

// Each shard is reported once: in time, or late at the latency target.
Test(request_run, each_part_is_reported_as_in_time_or_late) {
  Fixture fixture(3);
  std::map<std::string, bool> reported;
  fixture.hooks.on_part = [&](const ServiceId& service, bool in_time) {
    cr_expect(!reported.contains(service.str()));
    reported[service.str()] = in_time;
  };
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  run.OnAnswer(0, {.status = 200}, kStart + milliseconds(5));
  run.OnAnswer(2, {.status = 200}, kStart + milliseconds(6));
  run.OnWake(kStart + milliseconds(100));
  const std::map<std::string, bool> expected{
      {"a", true}, {"b", false}, {"c", true}};
  cr_expect(reported == expected);
}

// Guards against a request that fails within milliseconds after all hosts have
// lost power. The targets of two of three shards still count the connections
// from before and reject new ones. A connection becomes free soon after, and
// the answer can then be complete enough.
Test(request_run, a_needed_shard_is_retried_after_rejecting_all_connections) {
  Fixture fixture(3);
  fixture.options.max_attempts = 1;
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  run.OnAnswer(0, OkAnswer("1"), kStart);
  // Attempts 1 and 2 are the first on "b" and "c"; each shard has three
  // targets.
  for (uint32_t attempt = 1; attempt < 6; ++attempt) {
    cr_assert(
        !run.OnAttemptFailed(attempt, AttemptFailure::kNotSent, kStart).end);
  }
  const RunStep last = run.OnAttemptFailed(6, AttemptFailure::kNotSent, kStart);
  cr_assert(!last.end.has_value());
  cr_assert(last.wake_at.has_value());
  const TimePoint again = kStart + milliseconds(12);
  const RunStep retried = run.OnWake(again);
  cr_expect(!retried.starts.empty());
  cr_assert(!retried.end.has_value());
  run.OnAnswer(retried.starts[0].attempt, OkAnswer("2"), again);
  // The third shard doesn't answer; the run ends at the latency target.
  const RunStep end = run.OnWake(kStart + milliseconds(100));
  cr_assert(end.end.has_value());
  cr_expect(end.end->kind == RunEndKind::kParts);
  cr_expect(end.end->missing_parts == 1);
}

// Guards against a caller that waits until its deadline while all targets are
// at their connection limit for seconds. The request is refused as not run
// within half a second.
Test(request_run, a_request_whose_connections_are_rejected_is_refused) {
  Fixture fixture(1);
  fixture.options.idempotent = false;
  fixture.options.deadline = kStart + milliseconds(8000);
  RequestRun run = fixture.MakeRun();
  RunStep step = run.Start(kStart);
  TimePoint now = kStart;
  while (!step.end && now < kStart + milliseconds(2000)) {
    if (step.starts.empty()) {
      now = std::max(*step.wake_at, now + milliseconds(1));
      step = run.OnWake(now);
    } else {
      step = run.OnAttemptFailed(step.starts[0].attempt,
                                 AttemptFailure::kNotSent, now);
    }
  }
  cr_assert(step.end.has_value());
  cr_expect(step.end->kind == RunEndKind::kNotRun);
  cr_expect(now <= kStart + milliseconds(500));
}

// Guards against hundreds of hosts that each try to connect a hundred times a
// second to targets at their connection limit, so that none gets a connection.
Test(request_run, retries_of_targets_at_their_connection_limit_back_off) {
  Fixture fixture(1);
  fixture.options.deadline = kStart + milliseconds(8000);
  RequestRun run = fixture.MakeRun();
  RunStep step = run.Start(kStart);
  TimePoint now = kStart;
  while (!step.end) {
    if (step.starts.empty()) {
      now = std::max(*step.wake_at, now + milliseconds(1));
      step = run.OnWake(now);
    } else {
      step = run.OnAttemptFailed(step.starts[0].attempt,
                                 AttemptFailure::kNotSent, now);
    }
  }
  constexpr size_t kTargets = 3;
  constexpr size_t kMaxPicks = 8;
  cr_expect(run.attempt_count() <= kTargets * kMaxPicks);
}

std::vector<MergedAnswer> Merged(std::initializer_list<uint32_t> attempts) {
  std::vector<MergedAnswer> merged;
  for (const uint32_t attempt : attempts) {
    merged.push_back(
        {.attempt = attempt, .seal = "m" + std::to_string(attempt)});
  }
  return merged;
}

Test(request_run, merged_answers_count_for_all_their_shards) {
  Fixture fixture(3);
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  cr_expect(!run.OnAnswer(1, OkAnswer("1"), kStart).end);
  const RunStep end =
      run.OnMergedAnswers(Merged({0, 2}), {.records = "records"}, kStart);
  cr_assert(end.end && end.end->parts.size() == 3);
  std::string bodies;
  for (const TargetAnswer& part : end.end->parts) {
    bodies += part.body;
  }
  cr_expect(bodies == "xrecords");
}

// Guards against counting records twice: the hedge of a shard is answered
// first, and the shard's records are among merged ones that can't be separated.
Test(request_run, merged_answers_replace_a_single_answer_of_their_shard) {
  Fixture fixture(3);
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  cr_assert(run.OnWake(kStart + milliseconds(20)).starts.size() == 3);
  run.OnAnswer(3, OkAnswer("hedge"), kStart + milliseconds(25));
  run.OnMergedAnswers(Merged({0, 1}), {.records = "records"},
                      kStart + milliseconds(26));
  const RunStep end = run.OnAnswer(2, OkAnswer("3"), kStart + milliseconds(27));
  cr_assert(end.end);
  std::vector<std::string> seals;
  std::string bodies;
  for (const TargetAnswer& part : end.end->parts) {
    seals.push_back(part.seal);
    bodies += part.body;
  }
  std::ranges::sort(seals);
  cr_expect(seals == (std::vector<std::string>{"3", "m0", "m1"}));
  cr_expect(bodies == "recordsx");
}

// Guards against losing the records of merged answers when a hedge of one of
// their shards is answered after them.
Test(request_run, a_second_answer_does_not_replace_a_merged_one) {
  Fixture fixture(3);
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  cr_assert(run.OnWake(kStart + milliseconds(20)).starts.size() == 3);
  run.OnMergedAnswers(Merged({0, 1}), {.records = "records"},
                      kStart + milliseconds(25));
  run.OnMergedAnswers(Merged({3}), {.records = "hedge"},
                      kStart + milliseconds(26));
  const RunStep end = run.OnAnswer(2, OkAnswer("3"), kStart + milliseconds(27));
  cr_assert(end.end && end.end->parts.size() == 3);
  std::string bodies;
  for (const TargetAnswer& part : end.end->parts) {
    bodies += part.body;
  }
  cr_expect(bodies == "recordsx");
}

// The same for two groups of merged answers that share a shard: the later group
// is dropped. Shards that only it has answered are asked again.
Test(request_run, groups_that_share_a_shard_are_not_combined) {
  Fixture fixture(3);
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  cr_assert(run.OnWake(kStart + milliseconds(20)).starts.size() == 3);
  run.OnMergedAnswers(Merged({0, 1}), {.records = "records"},
                      kStart + milliseconds(25));
  run.OnMergedAnswers(Merged({4, 5}), {.records = "others"},
                      kStart + milliseconds(26));
  const RunStep end = run.OnAnswer(2, OkAnswer("3"), kStart + milliseconds(27));
  cr_assert(end.end && end.end->parts.size() == 3);
  cr_expect(end.end->missing_parts == 0);
}

Test(request_run, merged_answers_after_the_end_are_ignored) {
  Fixture fixture(2);
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  run.OnAnswer(0, OkAnswer("1"), kStart);
  cr_assert(run.OnAnswer(1, OkAnswer("2"), kStart).end.has_value());
  const RunStep late =
      run.OnMergedAnswers(Merged({0}), {.records = "records"}, kStart);
  cr_expect(!late.end && late.starts.empty());
}

// Guards against a request that waits until its deadline for a target that
// doesn't respond, because no extra attempt was allowed when its hedge was due.
Test(request_run, a_refused_hedge_is_tried_again) {
  Fixture fixture(1);
  fixture.extra_budget = 0;
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  const RunStep refused = run.OnWake(kStart + milliseconds(20));
  cr_expect(refused.starts.empty());
  cr_assert(refused.wake_at.has_value());
  cr_expect(*refused.wake_at <= kStart + milliseconds(60));
  fixture.extra_budget = 1;
  cr_expect(run.OnWake(*refused.wake_at).starts.size() == 1);
}

Test(request_run, an_attempt_after_the_latency_target_counts_as_a_retry) {
  Fixture fixture(1);
  std::vector<bool> asked;
  fixture.hooks.spend_extra_attempt = [&](const ServiceId&, bool is_hedge) {
    asked.push_back(is_hedge);
    return false;
  };
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  run.OnWake(kStart + milliseconds(20));
  run.OnWake(kStart + milliseconds(150));
  const std::vector<bool> expected = {true, false};
  cr_expect(asked == expected);
}

// Guards against hedging every part that another host gathers while its answer
// is in transit.
Test(request_run, an_attempt_with_a_delayed_answer_is_hedged_later) {
  Fixture fixture(3);
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  run.DelayHedge(0, milliseconds(10));
  const RunStep first = run.OnWake(kStart + milliseconds(20));
  cr_expect(first.starts.size() == 2);
  cr_expect(run.OnWake(kStart + milliseconds(31)).starts.size() == 1);
}

// Guards against a late part whose hedge waits although the host that gathers
// it has said that it is late.
Test(request_run, a_part_known_to_be_late_is_hedged_at_once) {
  Fixture fixture(3);
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  for (const uint32_t attempt : {0, 1, 2}) {
    run.DelayHedge(attempt, milliseconds(30));
  }
  run.OnAnswer(0, OkAnswer("1"), kStart + milliseconds(5));
  run.ExpediteHedge(0, kStart + milliseconds(6));
  run.ExpediteHedge(2, kStart + milliseconds(6));
  const RunStep step = run.OnWake(kStart + milliseconds(6));
  cr_assert(step.starts.size() == 1);
  cr_expect(step.starts.front().service_index == 2);
}

// Guards against the parts of one scatter that are each sent to a second target
// although all first ones have ended under it.
Test(request_run, parts_of_a_suspect_are_tried_one_by_one) {
  Fixture fixture(3);
  size_t allowed = 1;
  fixture.hooks.check_send = [&](const ServiceId&, size_t unsent) {
    return unsent < allowed ? SendPermission::kAllowed : SendPermission::kHeld;
  };
  allowed = 3;
  RequestRun run = fixture.MakeRun();
  cr_assert(run.Start(kStart).starts.size() == 3);
  allowed = 1;
  const auto lose = [&](uint32_t attempt) {
    return run.OnAttemptFailed(attempt, AttemptFailure::kMayHaveRun, kStart);
  };
  cr_expect(lose(0).starts.size() == 1);
  allowed = 0;
  const RunStep held = lose(1);
  cr_expect(held.starts.empty() && !held.end);
  cr_expect(lose(2).starts.empty());
  cr_expect(run.OnWake(kStart + milliseconds(4)).starts.empty());
  // The one that was tried is answered.
  allowed = 3;
  const RunStep cleared =
      run.OnAnswer(3, OkAnswer("1"), kStart + milliseconds(9));
  cr_expect(cleared.starts.size() == 2);
  run.OnAnswer(4, OkAnswer("2"), kStart + milliseconds(12));
  const RunStep end = run.OnAnswer(5, OkAnswer("3"), kStart + milliseconds(12));
  cr_expect(end.end && end.end->missing_parts == 0);
}

// Guards against callers who wait for their deadline although no part will be
// sent again.
Test(request_run, a_condemned_request_ends_at_once) {
  Fixture fixture(3);
  SendPermission permission = SendPermission::kAllowed;
  fixture.hooks.check_send = [&](const ServiceId&, size_t) {
    return permission;
  };
  fixture.options.condemned_retry_after = milliseconds(30'000);
  RequestRun run = fixture.MakeRun();
  run.Start(kStart);
  permission = SendPermission::kRefused;
  // The attempts that are out may be answered, which would clear the request.
  cr_expect(!run.OnAttemptFailed(0, AttemptFailure::kMayHaveRun, kStart).end);
  cr_expect(!run.OnAttemptFailed(1, AttemptFailure::kMayHaveRun, kStart).end);
  const RunStep end =
      run.OnAttemptFailed(2, AttemptFailure::kMayHaveRun, kStart);
  cr_assert(end.end && end.end->kind == RunEndKind::kFailed);
  cr_expect(end.end->cause == kQueryOfDeath);
  cr_expect(end.end->retry_after == milliseconds(30'000));

  // A repeat is refused before anything is sent, which proves that it did not
  // run.
  RequestRun repeat = fixture.MakeRun();
  const RunStep refused = repeat.Start(kStart);
  cr_expect(refused.starts.empty());
  cr_assert(refused.end && refused.end->kind == RunEndKind::kNotRun);
  cr_expect(refused.end->cause == kQueryOfDeath);
}

// Guards against an answer that fails as a whole because one of its shards is
// condemned.
Test(request_run, a_condemned_shard_is_left_out) {
  Fixture fixture(3);
  fixture.hooks.check_send = [&](const ServiceId& service, size_t) {
    return service == ServiceId("c") ? SendPermission::kRefused
                                     : SendPermission::kAllowed;
  };
  RequestRun run = fixture.MakeRun();
  cr_assert(run.Start(kStart).starts.size() == 2);
  run.OnAnswer(0, OkAnswer("1"), kStart);
  const RunStep end = run.OnAnswer(1, OkAnswer("2"), kStart);
  cr_assert(end.end && end.end->kind == RunEndKind::kParts);
  cr_expect(end.end->missing_parts == 1);
}

}  // namespace
}  // namespace knapweedroad
