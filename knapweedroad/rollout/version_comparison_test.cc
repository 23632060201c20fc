#include "knapweedroad/rollout/version_comparison.h"

#include <criterion/criterion.h>

#include <random>

#include "knapweedroad/rollout/answer_sample.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

AnswerSamples MakeAnswer(const char* target,
                         bool is_candidate,
                         double ms,
                         const char* route = "r") {
  AnswerSamples answers{
      .target = TargetId(target), .route = route, .is_candidate = is_candidate};
  answers.samples += static_cast<char>(
      ms < 0 ? kFailedSample
             : EncodeLatencySample(Duration(static_cast<int64_t>(ms * 1e6))));
  return answers;
}

// Adds answers of the stable version that take about 10 ms.
void AddStableAnswers(VersionComparison& comparison, int answers) {
  for (int i = 0; i < answers; ++i) {
    comparison.Add(MakeAnswer(i % 2 == 0 ? "old1" : "old2", false, 8 + i % 5),
                   kStart);
  }
}

const char* const kTargets[] = {"new1", "new2", "new3"};

Test(version_comparison, equal_versions_are_not_reported_as_worse) {
  VersionComparison comparison;
  AddStableAnswers(comparison, 200);
  for (int i = 0; i < 300; ++i) {
    comparison.Add(MakeAnswer(kTargets[i % 3], true, 8 + i % 7), kStart);
  }
  cr_expect(!comparison.is_worse());
  cr_expect(comparison.is_evidence_weak());
}

Test(version_comparison, a_partly_failing_version_is_worse_within_30_answers) {
  VersionComparison comparison;
  AddStableAnswers(comparison, 200);
  int answers = 0;
  while (!comparison.is_worse() && answers < 100) {
    comparison.Add(
        MakeAnswer(kTargets[answers % 3], true, answers % 5 < 2 ? -1 : 10),
        kStart);
    ++answers;
  }
  cr_expect(answers <= 30, "%d", answers);
}

Test(version_comparison, a_much_slower_version_is_worse) {
  VersionComparison comparison;
  AddStableAnswers(comparison, 200);
  for (int i = 0; i < 20; ++i) {
    comparison.Add(MakeAnswer(kTargets[i % 3], true, 40), kStart);
  }
  cr_expect(comparison.is_worse());
}

// Guards against comparing all routes together: the median of the route with
// longer latencies would hide slow answers on the other one.
Test(version_comparison, routes_are_compared_separately) {
  VersionComparison comparison;
  for (int i = 0; i < 200; ++i) {
    comparison.Add(MakeAnswer("old1", false, 40, "long"), kStart);
    comparison.Add(MakeAnswer("old1", false, 4, "short"), kStart);
  }
  for (int i = 0; i < 20; ++i) {
    comparison.Add(MakeAnswer(kTargets[i % 3], true, 40, "long"), kStart);
    comparison.Add(MakeAnswer(kTargets[i % 3], true, 16, "short"), kStart);
  }
  cr_expect(comparison.is_worse());
}

// Guards against earlier good answers that outweigh a late fault.
Test(version_comparison, a_late_fault_is_detected_as_fast) {
  VersionComparison comparison;
  AddStableAnswers(comparison, 200);
  for (int i = 0; i < 500; ++i) {
    comparison.Add(MakeAnswer(kTargets[i % 3], true, 10), kStart);
  }
  int answers = 0;
  while (!comparison.is_worse() && answers < 100) {
    comparison.Add(
        MakeAnswer(kTargets[answers % 3], true, answers % 5 < 2 ? -1 : 10),
        kStart);
    ++answers;
  }
  cr_expect(answers <= 30, "%d", answers);
}

// Guards against rolling back a good version because one of its targets is
// faulty.
Test(version_comparison, one_faulty_target_does_not_make_its_version_worse) {
  VersionComparison comparison;
  AddStableAnswers(comparison, 200);
  for (int i = 0; i < 60; ++i) {
    comparison.Add(MakeAnswer(kTargets[i % 3], true, i % 3 == 0 ? -1 : 10),
                   kStart);
  }
  cr_expect(!comparison.is_worse());
}

// Guards against rolling back a version for a fault that affects all targets.
Test(version_comparison, failures_shared_with_the_stable_version_are_ignored) {
  VersionComparison comparison;
  for (int i = 0; i < 200; ++i) {
    comparison.Add(MakeAnswer("old1", false, i % 4 == 0 ? -1 : 10), kStart);
  }
  for (int i = 0; i < 100; ++i) {
    comparison.Add(MakeAnswer(kTargets[i % 3], true, i % 4 == 0 ? -1 : 10),
                   kStart);
  }
  cr_expect(!comparison.is_worse());
}

Test(version_comparison, an_attempt_given_up_early_is_not_counted) {
  VersionComparison comparison;
  AddStableAnswers(comparison, 200);
  AnswerSamples early{
      .target = TargetId("new1"), .route = "r", .is_candidate = true};
  early.given_up.assign(
      50, static_cast<char>(EncodeLatencySample(milliseconds(12))));
  comparison.Add(early, kStart);
  cr_expect(comparison.candidate_answers() == 0);
  early.given_up.assign(
      50, static_cast<char>(EncodeLatencySample(milliseconds(60))));
  comparison.Add(early, kStart);
  cr_expect(comparison.candidate_bad_answers() == 50);
}

}  // namespace
}  // namespace knapweedroad
