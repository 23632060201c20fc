#ifndef KNAPWEEDROAD_MEMBERSHIP_RELAYED_REPORT_H_
#define KNAPWEEDROAD_MEMBERSHIP_RELAYED_REPORT_H_

#include "knapweedroad/base/time.h"
#include "knapweedroad/target/target_report.h"

namespace knapweedroad {

// A target's report that one host relays to another in a heartbeat.
struct RelayedReport {
  TargetReport report;
  // The time since a host received the report from the target itself.
  Duration age{};

  // Serializes the fields in order, for cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->report, this->age);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_MEMBERSHIP_RELAYED_REPORT_H_
