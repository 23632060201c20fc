#include "knapweedroad/membership/target_directory.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
const FrontId kFront("f");
const ServiceId kService("s");

TargetReport MakeReport(uint64_t incarnation,
                        uint64_t sequence,
                        TargetState state = TargetState::kReady) {
  return {.target = TargetId("t"),
          .front = kFront,
          .service = kService,
          .zone = ZoneId("z"),
          .incarnation = incarnation,
          .sequence = sequence,
          .state = state};
}

bool IsUsable(const TargetDirectory& directory, TimePoint now) {
  return directory.Candidates(kFront, kService, now).at(0).usable;
}

Test(TargetDirectory, RejectsOlderReport) {
  TargetDirectory directory({});
  cr_assert(directory.OnReport(MakeReport(2, 5), kStart));
  cr_assert(!directory.OnReport(MakeReport(2, 4, TargetState::kCold), kStart));
  cr_assert(!directory.OnReport(MakeReport(1, 90), kStart));
  cr_assert(directory.OnReport(MakeReport(3, 0), kStart));
}

Test(TargetDirectory, TargetIsUnusableFiveSecondsAfterItsLastReport) {
  TargetDirectory directory({});
  directory.OnReport(MakeReport(1, 1), kStart);
  cr_assert(IsUsable(directory, kStart + milliseconds(4999)));
  cr_assert(!IsUsable(directory, kStart + seconds(5)));
}

// A target dies, and a host that has just started receives the target's last
// report from its peers. It must not take the dead target for a live one.
Test(TargetDirectory, RelayedReportKeepsItsAge) {
  TargetDirectory directory({});
  directory.OnRelayedReport({.report = MakeReport(1, 1), .age = seconds(4)},
                            kStart);
  cr_assert(IsUsable(directory, kStart));
  cr_assert(!IsUsable(directory, kStart + seconds(1)));
  directory.OnRelayedReport({.report = MakeReport(1, 1), .age = {}}, kStart);
  cr_assert(!IsUsable(directory, kStart + seconds(1)));
}

// Another thread of the target sends a ready report with a higher sequence
// number after the leaving report. The target must not become usable again.
Test(TargetDirectory, LeavingLastsUntilNextIncarnation) {
  TargetDirectory directory({});
  directory.OnReport(MakeReport(1, 1, TargetState::kLeaving), kStart);
  directory.OnReport(MakeReport(1, 2, TargetState::kReady), kStart);
  cr_assert(!IsUsable(directory, kStart));
  directory.OnReport(MakeReport(2, 0), kStart);
  cr_assert(IsUsable(directory, kStart));
}

Test(TargetDirectory, TargetIsUnusableWhileItsZoneIsOutOfService) {
  bool out_of_service = true;
  TargetDirectory directory({.is_zone_out_of_service = [&](const ZoneId&) {
    return out_of_service;
  }});
  directory.OnReport(MakeReport(1, 1), kStart);
  cr_assert(!IsUsable(directory, kStart));
  out_of_service = false;
  cr_assert(IsUsable(directory, kStart));
}

Test(TargetDirectory, RelaysReportOnceAndUrgentReportRepeatedly) {
  TargetDirectory directory({.urgent_send_count = 3});
  directory.OnReport(MakeReport(1, 1), kStart);
  cr_assert_eq(directory.TakePendingReports(9, kStart).size(), 1u);
  cr_assert(directory.TakePendingReports(9, kStart).empty());
  directory.OnRelayedReport({.report = MakeReport(1, 2), .age = {}}, kStart);
  cr_assert(directory.TakePendingReports(9, kStart).empty(),
            "a relayed report is not relayed again");
  const RelayedReport leaving{.report = MakeReport(1, 3, TargetState::kLeaving),
                              .age = milliseconds(5)};
  directory.OnRelayedReport(leaving, kStart);
  for (int i = 0; i < 3; ++i) {
    const auto reports =
        directory.TakePendingReports(9, kStart + milliseconds(i));
    cr_assert_eq(reports.size(), 1u);
    cr_assert(reports.at(0).age == milliseconds(5 + i));
  }
  cr_assert(directory.TakePendingReports(9, kStart).empty());
}

Test(TargetDirectory, RemovesTargetAfterExpiry) {
  TargetDirectory directory({});
  directory.OnReport(MakeReport(9, 1), kStart);
  const TimePoint later = kStart + seconds(121);
  cr_assert(directory.OnReport(MakeReport(1, 1), later),
            "the clock of the target was set back");
}

}  // namespace
}  // namespace knapweedroad
