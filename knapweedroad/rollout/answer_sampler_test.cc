#include "knapweedroad/rollout/answer_sampler.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
const ServiceId kService("s");
const VersionId kStableVersion("v1");
const VersionId kCandidateVersion("v2");
const HostId kOwner("c1");

RolloutRecord MakeRecord(uint64_t number = 1) {
  return {.service = kService,
          .number = number,
          .stable = kStableVersion,
          .candidate = kCandidateVersion,
          .owner = kOwner};
}

AnswerSampler MakeSampler() {
  AnswerSampler sampler({.host = HostId("e1"), .epoch = 7});
  sampler.SetRollouts(std::vector{MakeRecord()});
  return sampler;
}

RolloutReportReply MakeReply(uint32_t permille, bool allows_stable = true) {
  return {.directives = {{.service = kService,
                          .rollout_number = 1,
                          .sequence = 5,
                          .candidate_permille = permille,
                          .allows_stable = allows_stable,
                          .valid_ms = 1000}}};
}

Test(answer_sampler, sends_nothing_to_the_candidate_without_a_directive) {
  const AnswerSampler sampler = MakeSampler();
  const VersionSplit split = sampler.Splits(kStart).at(kService);
  cr_expect(!split.Allows(kCandidateVersion));
  cr_expect(split.Allows(kStableVersion));
}

// Guards against a host that is cut off from the owner and keeps sending
// requests to a candidate that has been found bad in the meantime.
Test(answer_sampler, a_directive_expires) {
  AnswerSampler sampler = MakeSampler();
  sampler.MakeReport(kOwner, kStart);
  sampler.OnReportReply(kOwner, MakeReply(300), kStart);
  const auto share = [&](TimePoint at) {
    return sampler.Splits(at).at(kService).candidate_share;
  };
  cr_expect(share(kStart + milliseconds(999)) == 0.3);
  cr_expect(share(kStart + milliseconds(1000)) == 0);
}

Test(answer_sampler, a_directive_of_another_owner_or_rollout_is_ignored) {
  AnswerSampler sampler = MakeSampler();
  sampler.OnReportReply(HostId("c2"), MakeReply(300), kStart);
  cr_expect(sampler.Splits(kStart).at(kService).candidate_share == 0);
  sampler.SetRollouts(std::vector{MakeRecord(2)});
  sampler.OnReportReply(kOwner, MakeReply(300), kStart);
  cr_expect(sampler.Splits(kStart).at(kService).candidate_share == 0);
}

Test(answer_sampler, an_ended_rollout_sets_the_split_without_a_directive) {
  AnswerSampler sampler = MakeSampler();
  RolloutRecord record = MakeRecord();
  record.state = RolloutState::kCompleted;
  sampler.SetRollouts(std::vector{record});
  cr_expect(sampler.Splits(kStart).at(kService).Allows(kCandidateVersion));
  cr_expect(!sampler.Splits(kStart).at(kService).Allows(kStableVersion));
  record.state = RolloutState::kRolledBack;
  sampler.SetRollouts(std::vector{record});
  cr_expect(!sampler.Splits(kStart).at(kService).Allows(kCandidateVersion));
  cr_expect(sampler.Splits(kStart).at(kService).Allows(kStableVersion));
  cr_expect(!sampler.is_active());
}

Test(answer_sampler, a_report_counts_both_versions_and_attempts_in_flight) {
  AnswerSampler sampler = MakeSampler();
  const SampledAttempt answered = sampler.OnSent(kService, kStableVersion);
  const SampledAttempt unanswered = sampler.OnSent(kService, kStableVersion);
  const SampledAttempt failed = sampler.OnSent(kService, kCandidateVersion);
  sampler.OnAnswered(answered, TargetId("t1"), "r", milliseconds(5));
  sampler.OnFailed(failed, TargetId("t2"), "r");
  const RolloutReport report = sampler.MakeReport(kOwner, kStart);
  cr_assert(report.rollouts.size() == 1);
  const RolloutProgress& progress = report.rollouts[0];
  cr_expect(progress.sent == 3 && progress.sent_to_candidate == 1);
  cr_expect(progress.stable_in_flight == 1);
  cr_expect(progress.answers.size() == 2);
  sampler.OnEnded(unanswered);
  cr_expect(sampler.MakeReport(kOwner, kStart).rollouts[0].stable_in_flight ==
            0);
}

// Guards against answers that are lost or counted twice when a report gets no
// reply.
Test(answer_sampler,
     unacknowledged_answers_are_repeated_under_the_same_number) {
  AnswerSampler sampler = MakeSampler();
  sampler.OnFailed(sampler.OnSent(kService, kCandidateVersion), TargetId("t2"),
                   "r");
  const RolloutReport first = sampler.MakeReport(kOwner, kStart);
  sampler.OnFailed(sampler.OnSent(kService, kCandidateVersion), TargetId("t2"),
                   "r");
  const RolloutReport second = sampler.MakeReport(kOwner, kStart);
  cr_expect(second.answers_number == first.answers_number);
  cr_expect(second.sequence > first.sequence);
  cr_expect(second.rollouts[0].answers == first.rollouts[0].answers);
  cr_expect(second.rollouts[0].sent == 2);
  sampler.OnReportReply(kOwner, {}, kStart);
  const RolloutReport third = sampler.MakeReport(kOwner, kStart);
  cr_expect(third.answers_number > second.answers_number);
  cr_assert(third.rollouts[0].answers.size() == 1);
  cr_expect(third.rollouts[0].answers[0].samples.size() == 1);
}

// Guards against a host that confirms an expired directive although it has
// returned to the stable version.
Test(answer_sampler, an_expired_directive_is_not_confirmed) {
  AnswerSampler sampler = MakeSampler();
  sampler.MakeReport(kOwner, kStart);
  sampler.OnReportReply(kOwner, MakeReply(1000, false), kStart);
  cr_expect(sampler.MakeReport(kOwner, kStart).rollouts[0].directive_sequence ==
            5);
  cr_expect(sampler.MakeReport(kOwner, kStart + seconds(2))
                .rollouts[0]
                .directive_sequence == 0);
}

Test(answer_sampler, an_attempt_of_an_earlier_rollout_is_not_counted) {
  AnswerSampler sampler = MakeSampler();
  const SampledAttempt attempt = sampler.OnSent(kService, kStableVersion);
  sampler.SetRollouts(std::vector{MakeRecord(2)});
  sampler.OnAnswered(attempt, TargetId("t1"), "r", milliseconds(5));
  const RolloutReport report = sampler.MakeReport(kOwner, kStart);
  cr_expect(report.rollouts[0].sent == 0);
  cr_expect(report.rollouts[0].answers.empty());
}

}  // namespace
}  // namespace knapweedroad
