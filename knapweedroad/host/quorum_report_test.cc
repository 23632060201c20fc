#include "knapweedroad/host/quorum_report.h"

#include <set>
#include <string>
#include <utility>

#include <criterion/criterion.h>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/host/control_service.h"

namespace knapweedroad {
namespace {

const MemberId kA{HostId("a"), 1};
const MemberId kB{HostId("b"), 2};
const MemberId kGone{HostId("old"), 3};
const MemberId kBlankB{HostId("b"), 4};

ControlPeek PeekOf(std::set<MemberId> answering, std::set<MemberId> holding) {
  ControlValue value{.version = 7};
  value.members = {.epoch = 5, .current = {kA, kB, kGone}};
  ControlPeek peek{.answering = std::move(answering),
                   .is_formed = true,
                   .newest = BallotedValue{Ballot{.round = 9}, value},
                   .holding = std::move(holding)};
  peek.has_quorum = value.members.IsQuorum(peek.answering);
  return peek;
}

std::string Describe(const ControlPeek& peek) {
  LogLine line("e");
  AddQuorumReport(line, peek);
  return line.str();
}

// A log doesn't tell a quorum that is lost to members that are gone from one
// that a wiped or refused replica is missing from.
Test(quorum_report, a_lost_quorum_names_the_members_that_are_missing) {
  const ControlPeek peek = PeekOf({kA, kBlankB}, {kA});
  cr_assert(QuorumState(peek) == "no_quorum");
  const std::string line = Describe(peek);
  cr_assert(line.ends_with(
                "state=no_quorum version=7 epoch=5 phase=0 members=\"a#1 b#2 "
                "old#3\" missing=\"b#2 old#3\" holding=a#1 answering=\"a#1 "
                "b#4\""),
            "%s", line.c_str());
}

// A gauge counts blank replicas as members that answer.
Test(quorum_report, only_members_count_as_answering_members) {
  cr_assert(CountAnsweringMembers(PeekOf({kA, kBlankB}, {kA})) == 1);
  cr_assert(CountAnsweringMembers({.answering = {kBlankB}}) == 0);
}

// A report that is kept for the log holds on to configurations of megabytes.
Test(quorum_report, what_is_kept_for_a_report_has_no_texts_and_says_the_same) {
  ControlPeek peek = PeekOf({kA, kB}, {kA});
  peek.newest->value.configuration = "text";
  peek.chosen = peek.newest;
  const ControlPeek kept = KeepForReport(peek);
  cr_assert(kept.newest->value.configuration.empty());
  cr_assert(kept.chosen->value.configuration.empty());
  cr_assert(Describe(kept) == Describe(peek));
}

// A log doesn't tell a value that too few replicas hold from a lost quorum.
Test(quorum_report, a_value_that_too_few_hold_is_undecided) {
  cr_assert(QuorumState(PeekOf({kA, kB}, {kA})) == "undecided");
}

// A log doesn't tell hosts that can't reach any other from blank ones.
Test(quorum_report, silence_and_blank_replicas_are_told_apart) {
  cr_assert(QuorumState({}) == "no_answer");
  cr_assert(QuorumState({.answering = {kBlankB}}) == "no_membership");
  cr_assert(Describe({.answering = {kBlankB}})
                .ends_with("state=no_membership answering=b#4"));
}

}  // namespace
}  // namespace knapweedroad
