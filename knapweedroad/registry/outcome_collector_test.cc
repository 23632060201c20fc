#include "knapweedroad/registry/outcome_collector.h"

#include <algorithm>
#include <array>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
const HostId kPeer("c2");

ServiceId OneService(const TargetId&) {
  return ServiceId("s");
}

OutcomeReport Failures(uint32_t count,
                       FollowerRole role = FollowerRole::kEntry) {
  return {.role = role, .outcomes = {{TargetId("bad"), 0, count, 0, 0}}};
}

Test(outcome_collector, entry_host_reports_are_forwarded_once) {
  OutcomeCollector collector;
  collector.TakeUnforwarded(kPeer, kStart);
  collector.Add(Failures(2), kStart);
  collector.AddUrgent(Failures(1), kStart);
  const auto forwarded = collector.TakeUnforwarded(kPeer, kStart);
  cr_assert(forwarded.size() == 1);
  cr_expect(forwarded[0].failed == 3);
  cr_expect(collector.TakeUnforwarded(kPeer, kStart).empty());
}

// Guards against outcomes that two control hosts forward to each other
// endlessly.
Test(outcome_collector, forwarded_reports_are_not_forwarded_again) {
  OutcomeCollector collector;
  collector.TakeUnforwarded(kPeer, kStart);
  collector.Add(Failures(2, FollowerRole::kControl), kStart);
  cr_expect(collector.TakeUnforwarded(kPeer, kStart).empty());
}

Test(outcome_collector,
     urgent_reports_are_evaluated_at_once_but_not_one_by_one) {
  OutcomeCollector collector;
  cr_expect(collector.AddUrgent(Failures(10), kStart) == kStart);
  cr_expect(collector.Evaluate(OneService, kStart));
  const TimePoint soon = kStart + milliseconds(10);
  cr_expect(collector.AddUrgent(Failures(1), soon) > soon);
  cr_expect(collector.AddUrgent(Failures(1), soon) < soon + milliseconds(100));
}

// The hosts of a zone each query dozens of targets once or twice a second, and
// half of the targets start to refuse two of five requests.
class RefusingZoneSimulation {
 public:
  // Returns the time until both control hosts list nine of ten refusing
  // targets.
  Duration TimeToDetect() {
    for (OutcomeCollector& collector : this->control) {
      collector.TakeUnforwarded(kPeer, kStart);
    }
    for (TimePoint now = kStart; now < kStart + seconds(5);
         now += milliseconds(1)) {
      this->QueryAllTargets(now);
      this->EvaluateWhereDue(now);
      if (this->HasDetected(0) && this->HasDetected(1)) {
        return now - kStart;
      }
    }
    return seconds(5);
  }

 private:
  static constexpr size_t kTargets = 36;
  static constexpr size_t kRefusing = kTargets / 2;
  static constexpr double kRefusedShare = 0.4;
  // Requests per second of the zone, each of which queries all targets.
  static constexpr double kRate = 25;

  static TargetId Target(size_t index) {
    return TargetId("t" + std::to_string(index));
  }

  void QueryAllTargets(TimePoint now) {
    std::uniform_real_distribution<double> uniform(0, 1);
    if (uniform(this->random) >= kRate / 1000) {
      return;
    }
    const size_t receiver = this->random() % 2;
    OutcomeReport report;
    for (size_t i = 0; i < kTargets; ++i) {
      const bool fails = i < kRefusing && uniform(this->random) < kRefusedShare;
      report.outcomes.push_back({Target(i), fails ? 0U : 1U, fails ? 1U : 0U,
                                 fails ? 0U : 1U, fails ? 0U : 10'000U});
    }
    this->due[receiver] = this->control[receiver].AddUrgent(report, now);
    this->due[1 - receiver] = this->control[1 - receiver].AddUrgent(
        {.role = FollowerRole::kControl,
         .outcomes = this->control[receiver].TakeUnforwarded(kPeer, now)},
        now);
  }

  void EvaluateWhereDue(TimePoint now) {
    for (size_t i = 0; i < this->control.size(); ++i) {
      if (this->due[i] != TimePoint() && now >= this->due[i]) {
        this->due[i] = TimePoint();
        this->control[i].Evaluate(OneService, now);
      }
    }
  }

  bool HasDetected(size_t index) const {
    const auto& listed = this->control[index].detector().outliers();
    const auto detected =
        std::ranges::count_if(listed, [](const auto& outlier) {
          for (size_t i = 0; i < kRefusing; ++i) {
            if (outlier.target == Target(i)) {
              return true;
            }
          }
          return false;
        });
    return static_cast<double>(detected) >= 0.9 * kRefusing;
  }

  std::array<OutcomeCollector, 2> control;
  std::array<TimePoint, 2> due;
  std::mt19937 random{1};
};

// Guards against a zone that takes a second to detect refusing targets, when
// each host has seen only a few of the refusals.
Test(outcome_collector, zone_detects_refusing_targets_within_half_a_second) {
  const Duration detection_time = RefusingZoneSimulation().TimeToDetect();
  cr_expect(detection_time < milliseconds(500), "%lld ms",
            static_cast<long long>(detection_time / milliseconds(1)));
}

}  // namespace
}  // namespace knapweedroad
