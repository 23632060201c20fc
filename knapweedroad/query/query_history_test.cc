// Random courses of a query, each checked as a whole: versions roll out,
// targets come and go, and answers are late, doubled, crossed or wrong.

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>

#include "knapweedroad/query/query_run.h"
#include "knapweedroad/query/query_test_world.h"

namespace knapweedroad {
namespace {

constexpr int kCourses = 3000;
constexpr int kDeadline = 100;

// Drives one query to its end and keeps what was sent and what came back.
class Course {
 public:
  explicit Course(uint64_t seed) : random(seed), run(this->world.MakeRun()) {
    this->world.front.minimum_coverage = 0.1 * this->Draw(8);
    this->world.front.policy =
        this->Draw(2) == 0 ? AnswerPolicy::kTail : AnswerPolicy::kCoverage;
    this->world.AddTarget("s1", "s1-c", "there");
    this->world.LearnLatency(std::chrono::milliseconds(8));
  }

  void Drive() {
    this->Note(this->run.Start(this->world.At(0)));
    for (int ms = 1; ms <= kDeadline; ++ms) {
      const TimePoint now = this->world.At(ms);
      this->ChangeTargets();
      this->Answer(now);
      const auto wake = this->run.NextWake();
      // Early and late timers too: they must do no harm.
      if ((wake && *wake <= now) || this->Draw(10) == 0) {
        this->Note(this->run.OnTimer(now));
      }
    }
  }

  void Check() const {
    cr_assert_eq(this->finishes, 1);
    cr_assert(!this->acted_after_finish);
    for (const auto& [attempt, send] : this->sent) {
      cr_assert(this->ended.contains(attempt), "neither ended nor cancelled");
    }
    if (!this->answer) {
      return;
    }
    uint64_t units = 0;
    std::set<std::string> services;
    for (const Hit& hit : this->answer->hits) {
      const SendAttempt& send = this->sent.at(AttemptId(hit.id));
      cr_assert_eq(send.snapshot, this->answer->snapshot);
      cr_assert_eq(this->replied.at(send.attempt), this->answer->snapshot);
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

  void Note(const QueryActions& actions) {
    this->acted_after_finish |= this->finishes > 0 && !actions.empty();
    for (const SendAttempt& send : Sends(actions)) {
      const auto& targets = this->world.targets.at(send.service);
      const auto target =
          std::ranges::find(targets, send.target, &TargetCandidate::target);
      cr_assert(target->usable, "new work for a target that may get none");
      cr_assert(this->sent.emplace(send.attempt, send).second);
      this->open.push_back(send.attempt);
    }
    for (const CancelAttempt& cancel : Cancels(actions)) {
      this->ended.insert(cancel.attempt);
    }
    if (auto answer = knapweedroad::Answer(actions)) {
      this->answer = answer;
      this->finishes += 1;
    }
    this->finishes += Refusal(actions) ? 1 : 0;
  }

  void ChangeTargets() {
    for (auto& [service, candidates] : this->world.targets) {
      for (TargetCandidate& target : candidates) {
        switch (this->Draw(60)) {
          case 0:
            target.holds = {kOld, kNew};
            break;
          case 1:
            target.holds = {kNew};
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

  // Ends some attempts, those that were cancelled or answered included.
  void Answer(TimePoint now) {
    for (size_t index = 0; index < this->open.size(); ++index) {
      const AttemptId attempt = this->open[index];
      const int what = this->Draw(40);
      if (what == 0) {
        const SnapshotId snapshot =
            this->Draw(4) == 0 ? kNew : this->sent.at(attempt).snapshot;
        this->ended.insert(attempt);
        this->replied.emplace(attempt, snapshot);
        this->Note(this->run.OnReply(
            attempt, this->world.Reply(attempt.str().c_str(), snapshot), now));
      } else if (what == 1) {
        this->ended.insert(attempt);
        const SubFailure failure{
            .outcome = static_cast<RunOutcome>(this->Draw(3)),
            .kind = static_cast<FailureKind>(this->Draw(7))};
        this->Note(this->run.OnFailure(attempt, failure, now));
      }
    }
  }

  QueryTestWorld world;
  std::mt19937_64 random;
  QueryRun run;
  std::map<AttemptId, SendAttempt> sent;
  std::vector<AttemptId> open;
  // Ended by an answer or failure, or cancelled.
  std::set<AttemptId> ended;
  // The snapshot of its first answer.
  std::map<AttemptId, SnapshotId> replied;
  std::optional<QueryAnswer> answer;
  int finishes = 0;
  bool acted_after_finish = false;
};

Test(QueryHistory, EveryCourseEndsInOneTrueAnswerOfOneSnapshot) {
  for (uint64_t seed = 0; seed < kCourses; ++seed) {
    Course course(seed);
    course.Drive();
    course.Check();
  }
}

}  // namespace
}  // namespace knapweedroad
