// Runs queries through random histories and checks each result: snapshots roll
// out, targets become usable and unusable, and replies are late, duplicated or
// from another snapshot.

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>

#include "knapweedroad/query/query_run.h"
#include "knapweedroad/query/query_test_fixture.h"

namespace knapweedroad {
namespace {

constexpr int kHistoryCount = 3000;
constexpr int kDeadlineMs = 100;

// Runs one query to its end and records the attempts and replies.
class RandomHistory {
 public:
  explicit RandomHistory(uint64_t seed)
      : random(seed), run(this->fixture.MakeRun()) {
    this->fixture.front.minimum_coverage = 0.1 * this->Draw(8);
    this->fixture.front.policy =
        this->Draw(2) == 0 ? AnswerPolicy::kTail : AnswerPolicy::kCoverage;
    this->fixture.AddTarget("s1", "s1-c", "there");
    this->fixture.RecordLatencies(std::chrono::milliseconds(8));
  }

  void Drive() {
    this->RecordActions(this->run.Start(this->fixture.At(0)));
    for (int ms = 1; ms <= kDeadlineMs; ++ms) {
      const TimePoint now = this->fixture.At(ms);
      this->ChangeTargets();
      this->EndAttempts(now);
      const auto wake = this->run.NextWake();
      // Early and late timer calls must be safe too.
      if ((wake && *wake <= now) || this->Draw(10) == 0) {
        this->RecordActions(this->run.OnTimer(now));
      }
    }
  }

  void Check() const {
    cr_assert_eq(this->finish_count, 1);
    cr_assert(!this->acted_after_finish);
    for (const auto& [attempt, send] : this->sent) {
      cr_assert(this->ended_ids.contains(attempt),
                "the attempt neither ended nor was cancelled");
    }
    if (!this->answer) {
      return;
    }
    uint64_t units = 0;
    std::set<std::string> services;
    for (const Hit& hit : this->answer->hits) {
      const SendAttempt& send = this->sent.at(AttemptId(hit.id));
      cr_assert_eq(send.snapshot, this->answer->snapshot);
      cr_assert_eq(this->replied_snapshots.at(send.attempt),
                   this->answer->snapshot);
      cr_assert(services.insert(send.service.str()).second);
      units += send.service == ServiceId("s1") ? 60 : 40;
    }
    cr_assert_eq(this->answer->coverage.units_answered, units);
    cr_assert_eq(this->answer->coverage.units_total, 100);
    cr_assert_gt(units, 0);
  }

 private:
  int Draw(int below) {
    return static_cast<int>(this->random() % static_cast<uint64_t>(below));
  }

  void RecordActions(const QueryActions& actions) {
    this->acted_after_finish |= this->finish_count > 0 && !actions.empty();
    for (const SendAttempt& send : Sends(actions)) {
      const auto& targets = this->fixture.targets.at(send.service);
      const auto target =
          std::ranges::find(targets, send.target, &TargetCandidate::target);
      cr_assert(target->usable, "a sub-request was sent to an unusable target");
      cr_assert(this->sent.emplace(send.attempt, send).second);
      this->sent_ids.push_back(send.attempt);
    }
    for (const CancelAttempt& cancel : Cancels(actions)) {
      this->ended_ids.insert(cancel.attempt);
    }
    if (auto answer = knapweedroad::Answer(actions)) {
      this->answer = answer;
      this->finish_count += 1;
    }
    this->finish_count += Refusal(actions) ? 1 : 0;
  }

  void ChangeTargets() {
    for (auto& [service, candidates] : this->fixture.targets) {
      for (TargetCandidate& target : candidates) {
        switch (this->Draw(60)) {
          case 0:
            target.snapshots = {kOldSnapshot, kNewSnapshot};
            break;
          case 1:
            target.snapshots = {kNewSnapshot};
            break;
          case 2:
            target.usable = !target.usable;
            break;
          default:
            break;
        }
      }
    }
  }

  // Ends random attempts, including those that ended or were cancelled before.
  void EndAttempts(TimePoint now) {
    for (size_t index = 0; index < this->sent_ids.size(); ++index) {
      const AttemptId attempt = this->sent_ids[index];
      const int event = this->Draw(40);
      if (event == 0) {
        const SnapshotId snapshot =
            this->Draw(4) == 0 ? kNewSnapshot : this->sent.at(attempt).snapshot;
        this->ended_ids.insert(attempt);
        this->replied_snapshots.emplace(attempt, snapshot);
        this->RecordActions(this->run.OnReply(
            attempt, this->fixture.Reply(attempt.str().c_str(), snapshot),
            now));
      } else if (event == 1) {
        this->ended_ids.insert(attempt);
        const TargetAttemptFailure failure{
            .outcome = static_cast<RunOutcome>(this->Draw(3)),
            .kind = static_cast<FailureKind>(this->Draw(7))};
        this->RecordActions(this->run.OnFailure(attempt, failure, now));
      }
    }
  }

  QueryTestFixture fixture;
  std::mt19937_64 random;
  QueryRun run;
  std::map<AttemptId, SendAttempt> sent;
  std::vector<AttemptId> sent_ids;
  // Attempts that were cancelled, or ended with a reply or failure.
  std::set<AttemptId> ended_ids;
  // The snapshot of the first reply to each attempt.
  std::map<AttemptId, SnapshotId> replied_snapshots;
  std::optional<QueryAnswer> answer;
  int finish_count = 0;
  bool acted_after_finish = false;
};

Test(QueryHistory, EveryHistoryFinishesOnceWithOneSnapshot) {
  for (uint64_t seed = 0; seed < kHistoryCount; ++seed) {
    RandomHistory history(seed);
    history.Drive();
    history.Check();
  }
}

}  // namespace
}  // namespace knapweedroad
