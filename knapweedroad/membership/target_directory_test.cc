#include "knapweedroad/membership/target_directory.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
const FrontId kFront("f");
const ServiceId kService("s");

TargetReport Report(uint64_t incarnation,
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

bool Usable(const TargetDirectory& directory, TimePoint now) {
  return directory.Candidates(kFront, kService, now).at(0).usable;
}

Test(TargetDirectory, AnOlderReportNeverReplacesANewer) {
  TargetDirectory directory({});
  cr_assert(directory.OnReport(Report(2, 5), kStart));
  cr_assert(!directory.OnReport(Report(2, 4, TargetState::kCold), kStart));
  cr_assert(!directory.OnReport(Report(1, 90), kStart));
  cr_assert(directory.OnReport(Report(3, 0), kStart));
}

Test(TargetDirectory, ATargetUnheardForFiveSecondsIsNotChosen) {
  TargetDirectory directory({});
  directory.OnReport(Report(1, 1), kStart);
  cr_assert(Usable(directory, kStart + milliseconds(4999)));
  cr_assert(!Usable(directory, kStart + seconds(5)));
}

// A target dies. A host that has just started hears of it from its peers, who
// repeat its last report: it must not take a dead target for a fresh one.
Test(TargetDirectory, APassedOnReportIsAsOldAsItIs) {
  TargetDirectory directory({});
  directory.OnPassedOn({.report = Report(1, 1), .age = seconds(4)}, kStart);
  cr_assert(Usable(directory, kStart));
  cr_assert(!Usable(directory, kStart + seconds(1)));
  directory.OnPassedOn({.report = Report(1, 1), .age = {}}, kStart);
  cr_assert(!Usable(directory, kStart + seconds(1)));
}

// The announcement of leaving is overtaken by a report that another thread of
// the target had composed before, with a higher number.
Test(TargetDirectory, LeavingHoldsUntilTheNextIncarnation) {
  TargetDirectory directory({});
  directory.OnReport(Report(1, 1, TargetState::kLeaving), kStart);
  directory.OnReport(Report(1, 2, TargetState::kReady), kStart);
  cr_assert(!Usable(directory, kStart));
  directory.OnReport(Report(2, 0), kStart);
  cr_assert(Usable(directory, kStart));
}

Test(TargetDirectory, NoTargetOfAZoneThatIsOutIsUsable) {
  bool out = true;
  TargetDirectory directory({.zone_out = [&](const ZoneId&) { return out; }});
  directory.OnReport(Report(1, 1), kStart);
  cr_assert(!Usable(directory, kStart));
  out = false;
  cr_assert(Usable(directory, kStart));
}

Test(TargetDirectory, PassesOnOnceAndUrgentNewsMoreOften) {
  TargetDirectory directory({.urgent_repeats = 3});
  directory.OnReport(Report(1, 1), kStart);
  cr_assert_eq(directory.TakeFresh(9, kStart).size(), 1u);
  cr_assert(directory.TakeFresh(9, kStart).empty());
  directory.OnPassedOn({.report = Report(1, 2), .age = {}}, kStart);
  cr_assert(directory.TakeFresh(9, kStart).empty(), "second-hand");
  const AgedReport leaving{.report = Report(1, 3, TargetState::kLeaving),
                           .age = milliseconds(5)};
  directory.OnPassedOn(leaving, kStart);
  for (int i = 0; i < 3; ++i) {
    const auto fresh = directory.TakeFresh(9, kStart + milliseconds(i));
    cr_assert_eq(fresh.size(), 1u);
    cr_assert(fresh.at(0).age == milliseconds(5 + i));
  }
  cr_assert(directory.TakeFresh(9, kStart).empty());
}

Test(TargetDirectory, ForgetsAfterALongSilence) {
  TargetDirectory directory({});
  directory.OnReport(Report(9, 1), kStart);
  const TimePoint later = kStart + seconds(121);
  cr_assert(directory.OnReport(Report(1, 1), later), "a clock set back");
}

}  // namespace
}  // namespace knapweedroad
