#include "knapweedroad/control/change_run.h"

#include <variant>

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr auto kAttempt = 500ms;

MemberId Member(const char* host, uint64_t incarnation) {
  return {.host = HostId(host), .incarnation = incarnation};
}

BallotedValue ValueOf(uint64_t round, std::vector<MemberId> members) {
  BallotedValue made{.ballot = {round, 1}};
  made.value.members = {.epoch = round, .current = std::move(members)};
  return made;
}

// A read that finds two members holding different values and a third silent.
RunActions ReadOfTwoValues(ChangeRun& run, TimePoint time) {
  const auto older =
      ValueOf(5, {Member("a", 1), Member("b", 1), Member("c", 1)});
  const auto newer =
      ValueOf(6, {Member("a", 1), Member("b", 1), Member("c", 1)});
  run.Start(time);
  run.OnPrepareReply(
      {.from = Member("a", 1), .accepted = older.ballot, .value = older.value},
      time);
  return run.OnPrepareReply(
      {.from = Member("b", 1), .accepted = newer.ballot, .value = newer.value},
      time);
}

ChangeRunOptions ReadOptions(TimePoint time) {
  return {.next_ballot =
              [](uint64_t round) {
                return Ballot{round + 1, 2};
              },
          .backoff = [](int) { return Duration(1ms); },
          .deadline = time + 550ms,
          .attempt_timeout = kAttempt,
          .ask_hosts = {HostId("a"), HostId("b"), HostId("c")}};
}

// The ballot of the prepare to that member; none if there is none.
Ballot PreparedAt(const RunActions& actions, const MemberId& member) {
  for (const Envelope& envelope : actions.send) {
    const auto* request = std::get_if<PrepareRequest>(&envelope.message);
    if (request != nullptr && request->to == member) {
      return request->ballot;
    }
  }
  return {};
}

// A host without a disk knows members from long ago; two of the three have
// been replaced since. An operator's command through it got no answer in 10 s
// under load: the old incarnations stayed silent until the attempt was over,
// and by then other hosts' ballots had passed the one it tried next, again and
// again. After a silent attempt it must ask anew who decides, at which round.
Test(ChangeRun, AfterASilentAttemptItAsksAgainWhoDecides) {
  const auto old = ValueOf(5, {Member("a", 1), Member("b", 1), Member("c", 1)});
  const auto now =
      ValueOf(90, {Member("a", 1), Member("b", 2), Member("c", 2)});
  TimePoint time;
  ChangeRun run(
      {.transform = [](ControlValue&, const auto&) { return ChangeOutcome{}; },
       .next_ballot =
           [](uint64_t round) {
             return Ballot{round + 1, 2};
           },
       .backoff = [](int) { return Duration(1ms); },
       .deadline = time + 10s,
       .attempt_timeout = kAttempt,
       .known = old});
  const Ballot tried = PreparedAt(run.Start(time), Member("a", 1));
  run.OnPrepareReply({.from = Member("a", 1),
                      .ballot = tried,
                      .status = ReplyStatus::kLowerBallot,
                      .promised = {90, 1}},
                     time);
  time += kAttempt;
  run.OnWake(time);
  time += 1ms;
  run.OnWake(time);
  const auto actions = run.OnPrepareReply({.from = Member("a", 1),
                                           .promised = {300, 1},
                                           .accepted = now.ballot,
                                           .value = now.value},
                                          time);
  cr_assert(PreparedAt(actions, Member("b", 2)).round == 301);
}

// A value was left half accepted and a member is down: reads waited for that
// member until their callers had left, and took the vote too late.
Test(ChangeRun, AReadOfAnUndecidedValueDoesNotWaitForASilentMember) {
  TimePoint time;
  ChangeRun run(ReadOptions(time));
  const auto waiting = ReadOfTwoValues(run, time);
  cr_assert(waiting.wake_at && *waiting.wake_at <= time + 100ms);
  time = *waiting.wake_at;
  const auto actions = run.OnWake(time);
  cr_assert(PreparedAt(actions, Member("a", 1)).round == 7);
}

// A change that is under way is displaced by a read which votes while the reply
// that would show the change as chosen is still coming.
Test(ChangeRun, AReadOfAnUndecidedValueWaitsForRepliesOnTheirWay) {
  TimePoint time;
  ChangeRun run(ReadOptions(time));
  ReadOfTwoValues(run, time);
  const auto newer =
      ValueOf(6, {Member("a", 1), Member("b", 1), Member("c", 1)});
  time += 50ms;
  run.OnWake(time);
  run.OnPrepareReply(
      {.from = Member("c", 1), .accepted = newer.ballot, .value = newer.value},
      time);
  cr_assert(run.result() && run.result()->chosen);
}

// Hosts that read an undecided value at the same time displaced each other's
// votes for seconds: each one that was refused voted again with a higher
// ballot.
Test(ChangeRun, AReadThatAnotherVoteDisplacedAsksBeforeItVotesAgain) {
  TimePoint time;
  ChangeRun run(ReadOptions(time));
  time = *ReadOfTwoValues(run, time).wake_at;
  const Ballot tried = PreparedAt(run.OnWake(time), Member("a", 1));
  for (const char* const host : {"a", "b"}) {
    run.OnPrepareReply({.from = Member(host, 1),
                        .ballot = tried,
                        .status = ReplyStatus::kLowerBallot,
                        .promised = {.round = 90, .proposer = 1}},
                       time);
  }
  time += 1ms;
  const auto actions = run.OnWake(time);
  cr_assert(!actions.send.empty());
  cr_assert(PreparedAt(actions, Member("a", 1)).IsNone());
  const auto decided =
      ValueOf(90, {Member("a", 1), Member("b", 1), Member("c", 1)});
  for (const char* const host : {"a", "b"}) {
    run.OnPrepareReply({.from = Member(host, 1),
                        .accepted = decided.ballot,
                        .value = decided.value},
                       time);
  }
  cr_assert(run.result() && run.result()->chosen);
}

}  // namespace
}  // namespace knapweedroad
