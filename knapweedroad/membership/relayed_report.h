// A target's report as one host passes it on to another.

#ifndef KNAPWEEDROAD_MEMBERSHIP_RELAYED_REPORT_H_
#define KNAPWEEDROAD_MEMBERSHIP_RELAYED_REPORT_H_

#include "knapweedroad/base/time.h"
#include "knapweedroad/target/target_report.h"

namespace knapweedroad {

struct RelayedReport {
  TargetReport report;
  // Since a host had it from the target itself.
  Duration age{};

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->report, this->age);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_MEMBERSHIP_RELAYED_REPORT_H_
