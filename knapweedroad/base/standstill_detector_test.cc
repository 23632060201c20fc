#include "knapweedroad/base/standstill_detector.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kStart{seconds(1000)};
constexpr Duration kBacklog = seconds(1);

// Bytes that waited through a freeze are taken for new ones.
Test(standstill_detector, bytes_read_right_after_a_standstill_may_be_old) {
  StandstillDetector detector;
  cr_expect(!detector.OnTick(kStart));
  cr_expect(!detector.OnTick(kStart + milliseconds(100)));
  cr_expect(!detector.MayBeOld(kStart + milliseconds(150), kBacklog,
                               kStart + milliseconds(150)));
  const BootTime awake = kStart + seconds(4);
  // Read before the first tick after it.
  cr_expect(detector.MayBeOld(awake, kBacklog, awake));
  cr_expect(detector.OnTick(awake + milliseconds(1)));
  const BootTime soon = awake + milliseconds(900);
  const BootTime later = awake + milliseconds(1100);
  for (BootTime tick = awake; tick < later; tick += milliseconds(100)) {
    detector.OnTick(tick);
  }
  cr_expect(detector.MayBeOld(soon, kBacklog, later));
  cr_expect(!detector.MayBeOld(later, kBacklog, later));
}

}  // namespace
}  // namespace knapweedroad
