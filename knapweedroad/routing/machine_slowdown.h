// Estimates how much longer than usual work takes on a target's machine at a
// moment, from the service times that the target reports with its answers.
//
//   MachineSlowdown slowdown;
//   slowdown.OnReport(250, service_usual_percent, now);
//   slowdown.OnLatency(latency_ns / usual_latency_ns, now);
//   double expected_ns = usual_latency_ns * slowdown.Factor(later);
//
// A machine that other processes use is slow for about half a second at a time.
// A report therefore counts fully at first and soon not at all. It is compared
// with the target's usual value, not with 100, because a constant slowness is
// part of the latency that the host measures.

#ifndef KNAPWEEDROAD_ROUTING_MACHINE_SLOWDOWN_H_
#define KNAPWEEDROAD_ROUTING_MACHINE_SLOWDOWN_H_

#include <cstdint>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

// Does no I/O and reads no clock. Without any report the factor is always 1.
class MachineSlowdown {
 public:
  // Records the service time that the target reported, in percent; zero means
  // that it reported none, and has no effect. `service_usual_percent` is the
  // assumed usual value of a target that hasn't reported before.
  void OnReport(uint32_t percent, double service_usual_percent, TimePoint now);

  // Compares the latest report with the answer that it came with.
  // `relative_latency` is the answer's latency divided by the target's latency
  // at its usual service time. Reports that don't agree with the latencies lose
  // their weight within a few answers. To be called after OnReport() with the
  // same time; otherwise has no effect.
  void OnLatency(double relative_latency, TimePoint now);

  // Returns the expected service time relative to the target's usual one. Near
  // 1 once the report is old.
  double Factor(TimePoint now) const;

  // Returns whether the machine was reported as noticeably slower than usual
  // within the length of a slow phase.
  bool IsSlow(TimePoint now) const;

  // Drops the latest report, as the process that sent it may have ended.
  void Forget() { this->percent = 0; }

 private:
  // The latest report divided by the usual value, limited to a plausible range.
  double ReportedRatio() const;
  // The weight of the reports, from 0 to 1.
  double Trust() const;
  // The reported ratio as far as it is trusted; 1 without a report.
  double BelievedRatio() const;

  // The latest report; zero if there is none.
  double percent = 0;
  TimePoint reported_at;
  // The smoothed reports; zero until the first one.
  double usual_percent = 0;
  // The decayed sums of x * x and x * y over answers, where x is the logarithm
  // of the reported ratio and y that of the relative latency. Their quotient is
  // the slope of the regression of y on x: 1 if reports are true, and 0 if they
  // say nothing about the latency.
  double sum_xx = 0;
  double sum_xy = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_MACHINE_SLOWDOWN_H_
