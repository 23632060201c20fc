#include "knapweedroad/routing/machine_slowdown.h"

#include <algorithm>
#include <cmath>

namespace knapweedroad {
namespace {

// Slow phases last about half a second. With half of this half-life hosts sent
// more requests to machines that were still slow; with twice of it hosts with
// few requests avoided targets that had recovered.
constexpr Duration kReportHalfLife = std::chrono::milliseconds(500);
// A machine that was reported as slow counts as slow for this time.
constexpr Duration kSlowPhase = std::chrono::milliseconds(500);
// The half-life of the usual value. It spans several slow phases, so that a
// single one hardly changes it.
constexpr Duration kUsualHalfLife = std::chrono::seconds(2);
// The largest weight of one report in the usual value, for targets that report
// seldom.
constexpr double kMaxUsualWeight = 0.1;
// Larger and smaller ratios count as these. They are more likely wrong than
// true, and a target that is four times slower is avoided in any case.
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 4;
// Ratios nearer to 1, by logarithm, tell nothing about whether reports are
// true.
constexpr double kMinInformativeLog = 0.1;
// Limits the logarithm of a relative latency, because a pause of a target can
// make one answer far slower than any service time explains.
constexpr double kMaxLatencyLog = 1.5;
// The decay of the sums with each answer, and the evidence for true reports
// that is assumed at first: that of about one answer of a slow machine.
constexpr double kSumRetention = 0.9;
constexpr double kPriorSum = 0.5;
// The smallest ratio of a slow machine.
constexpr double kSlowRatio = 1.3;

double Decay(Duration age, Duration half_life) {
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(half_life.count()));
}

}  // namespace

void MachineSlowdown::OnReport(uint32_t reported,
                               double service_usual_percent,
                               TimePoint now) {
  if (reported == 0) {
    return;
  }
  this->percent = reported;
  if (this->usual_percent <= 0) {
    this->usual_percent = service_usual_percent;
  } else {
    const double weight = std::min(
        kMaxUsualWeight, 1 - Decay(now - this->reported_at, kUsualHalfLife));
    const double plausible = this->ReportedRatio() * this->usual_percent;
    this->usual_percent += weight * (plausible - this->usual_percent);
  }
  this->reported_at = now;
}

void MachineSlowdown::OnLatency(double relative_latency, TimePoint now) {
  if (this->percent <= 0 || this->reported_at != now || relative_latency <= 0) {
    return;
  }
  const double x = std::log(this->ReportedRatio());
  if (std::abs(x) < kMinInformativeLog) {
    return;
  }
  const double y =
      std::clamp(std::log(relative_latency), -kMaxLatencyLog, kMaxLatencyLog);
  this->sum_xx = this->sum_xx * kSumRetention + x * x;
  this->sum_xy = this->sum_xy * kSumRetention + x * y;
}

double MachineSlowdown::ReportedRatio() const {
  return this->percent <= 0 ? 1
                            : std::clamp(this->percent / this->usual_percent,
                                         kMinRatio, kMaxRatio);
}

double MachineSlowdown::Trust() const {
  return std::clamp((this->sum_xy + kPriorSum) / (this->sum_xx + kPriorSum),
                    0.0, 1.0);
}

double MachineSlowdown::BelievedRatio() const {
  return this->percent <= 0 ? 1
                            : std::pow(this->ReportedRatio(), this->Trust());
}

double MachineSlowdown::Factor(TimePoint now) const {
  if (this->percent <= 0) {
    return 1;
  }
  return 1 + (this->BelievedRatio() - 1) *
                 Decay(now - this->reported_at, kReportHalfLife);
}

bool MachineSlowdown::IsSlow(TimePoint now) const {
  return now - this->reported_at < kSlowPhase &&
         this->BelievedRatio() >= kSlowRatio;
}

}  // namespace knapweedroad
