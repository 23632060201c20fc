// Losses of control hosts in each phase of a change of members. Each must leave
// members that bear one more loss once the lost host has had time to catch up.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/control/control_value.h"
#include "knapweedroad/control/membership_world.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCatchUp = seconds(4);
constexpr Duration kAckTimeout = seconds(5);
constexpr Duration kRecovery = seconds(12);
constexpr Duration kDown = milliseconds(300);
constexpr Duration kPhaseTimeout = seconds(3);
constexpr uint32_t kSeeds = 40;

// As of ControlService, on disks and links of the given delays.
FakeClusterOptions Options(uint32_t seed,
                           Duration delay,
                           Duration sync_time,
                           std::vector<std::string> hosts = {"a", "b", "c"}) {
  return {.seed = seed,
          .hosts = std::move(hosts),
          .max_delay = delay,
          .sync_time = sync_time,
          .attempt_timeout = milliseconds(500)};
}

void LoseDiskOf(MembershipWorld& world, const std::string& host) {
  world.cluster().Crash(host);
  world.cluster().LoseDisk(host);
  world.RunFor(kDown);
  world.Restart(host);
}

bool HasAccepted(MembershipWorld& world, MembershipPhase phase) {
  const std::vector<std::string> running = world.Running();
  return std::ranges::any_of(running, [&](const std::string& host) {
    const auto& value = world.cluster().acceptor(host)->current().value;
    return value.has_value() && value->members.phase == phase;
  });
}

// Whether some running host has accepted a value of the phase in time.
bool RunUntil(MembershipWorld& world, MembershipPhase phase) {
  const TimePoint end = world.cluster().now() + kPhaseTimeout;
  while (!HasAccepted(world, phase) && world.cluster().now() < end) {
    world.RunFor(milliseconds(1));
  }
  return HasAccepted(world, phase);
}

// The members are restored within the catch-up time, and then another disk may
// be lost.
void ExpectOneMoreLossIsBorne(MembershipWorld& world, uint32_t seed) {
  world.RunFor(kCatchUp);
  cr_assert(world.Change(2, kAckTimeout), "seed %u", seed);
  LoseDiskOf(world, "b");
  cr_expect(world.Read(kRecovery) == 2, "seed %u", seed);
  world.RunFor(kCatchUp);
  cr_expect(world.Change(3, kAckTimeout), "seed %u", seed);
}

void PlayJoinerLostIn(MembershipPhase phase, Duration delay, Duration sync) {
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    MembershipWorld world(Options(seed, delay, sync));
    cr_assert(world.Change(1, kAckTimeout));
    LoseDiskOf(world, "a");
    cr_assert(RunUntil(world, phase), "seed %u", seed);
    world.RunFor(milliseconds(1) * (seed % 5));
    LoseDiskOf(world, "a");
    ExpectOneMoreLossIsBorne(world, seed);
  }
}

// The step that gives a change up waits for the joining replica that is gone,
// while the others' higher ballots displace it, so that no change ever ends.
Test(membership_hang, the_joining_disk_is_lost_as_it_joins) {
  PlayJoinerLostIn(MembershipPhase::kJoining, milliseconds(5), milliseconds(2));
}

// The same between regions on slow disks.
Test(membership_hang, the_joining_disk_is_lost_as_it_joins_slowly) {
  PlayJoinerLostIn(MembershipPhase::kJoining, milliseconds(30),
                   milliseconds(40));
}

// The new set is settled and counts on a replica that is gone: the step that
// puts it in force waits for that replica.
Test(membership_hang, the_joining_disk_is_lost_as_the_change_finishes) {
  PlayJoinerLostIn(MembershipPhase::kFinishing, milliseconds(5),
                   milliseconds(2));
  PlayJoinerLostIn(MembershipPhase::kFinishing, milliseconds(30),
                   milliseconds(40));
}

// The joining disk is lost a third time while the change is undone.
Test(membership_hang, the_joining_disk_is_lost_as_the_change_is_undone) {
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    MembershipWorld world(Options(seed, milliseconds(5), milliseconds(2)));
    cr_assert(world.Change(1, kAckTimeout));
    LoseDiskOf(world, "a");
    cr_assert(RunUntil(world, MembershipPhase::kJoining), "seed %u", seed);
    LoseDiskOf(world, "a");
    if (RunUntil(world, MembershipPhase::kReverting)) {
      LoseDiskOf(world, "a");
    }
    ExpectOneMoreLossIsBorne(world, seed);
  }
}

// The machine that joins in the place of a lost one is lost itself, in each
// phase, and a third one comes.
Test(membership_hang, the_replacing_machine_is_lost) {
  for (const MembershipPhase phase :
       {MembershipPhase::kJoining, MembershipPhase::kFinishing}) {
    for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipWorld world(Options(seed, milliseconds(5), milliseconds(2)));
      cr_assert(world.Change(1, kAckTimeout));
      world.cluster().Crash("a");
      world.RunFor(kDown);
      world.AddHost("d");
      cr_assert(RunUntil(world, phase), "seed %u", seed);
      world.cluster().Crash("d");
      world.RunFor(kDown);
      world.AddHost("e");
      ExpectOneMoreLossIsBorne(world, seed);
    }
  }
}

// The joining machine is cut off right after its replica was named, or stands
// still, until the others have given the change up.
Test(membership_hang, the_joining_machine_is_silent_for_a_while) {
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    MembershipWorld world(Options(seed, milliseconds(5), milliseconds(2)));
    cr_assert(world.Change(1, kAckTimeout));
    LoseDiskOf(world, "a");
    cr_assert(RunUntil(world, MembershipPhase::kJoining), "seed %u", seed);
    const Duration span = milliseconds(100) * (seed % 30);
    if (seed % 2 == 0) {
      world.cluster().CutOff({"a"});
      world.RunFor(span);
      world.cluster().Heal();
    } else {
      world.cluster().Freeze("a");
      world.RunFor(span);
      world.cluster().Thaw("a");
    }
    ExpectOneMoreLossIsBorne(world, seed);
  }
}

// The joining machine's disk takes longer for a record than an attempt lasts,
// for longer than the others carry a change on.
Test(membership_hang, the_joining_disk_is_slow_for_a_while) {
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    MembershipWorld world(Options(seed, milliseconds(5), milliseconds(2)));
    cr_assert(world.Change(1, kAckTimeout));
    LoseDiskOf(world, "a");
    cr_assert(RunUntil(world, MembershipPhase::kJoining), "seed %u", seed);
    world.cluster().SlowDisk("a", seconds(2));
    world.RunFor(seconds(5));
    world.cluster().SlowDisk("a", milliseconds(2));
    ExpectOneMoreLossIsBorne(world, seed);
  }
}

// Of five members two lose their disks, and one of them again as it joins.
Test(membership_hang, two_of_five_lose_their_disks) {
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    MembershipWorld world(Options(seed, milliseconds(5), milliseconds(2),
                                  {"a", "b", "c", "d", "e"}));
    cr_assert(world.Change(1, kAckTimeout));
    world.cluster().Crash("e");
    world.cluster().LoseDisk("e");
    LoseDiskOf(world, "a");
    cr_assert(RunUntil(world, MembershipPhase::kJoining), "seed %u", seed);
    LoseDiskOf(world, "a");
    world.Restart("e");
    ExpectOneMoreLossIsBorne(world, seed);
  }
}

// A lost member is taken out of four, and the host that does it restarts.
Test(membership_hang, the_host_that_removes_a_member_restarts) {
  for (const MembershipPhase phase :
       {MembershipPhase::kJoining, MembershipPhase::kFinishing}) {
    for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipWorld world(Options(seed, milliseconds(5), milliseconds(2),
                                    {"a", "b", "c", "d"}));
      cr_assert(world.Change(1, kAckTimeout));
      world.cluster().Crash("d");
      cr_assert(RunUntil(world, phase), "seed %u", seed);
      world.cluster().Crash("a");
      world.RunFor(kDown);
      world.Restart("a");
      ExpectOneMoreLossIsBorne(world, seed);
    }
  }
}

// Another member restarts in each phase: no quorum decides until it is back.
Test(membership_hang, another_member_restarts) {
  for (const MembershipPhase phase :
       {MembershipPhase::kJoining, MembershipPhase::kFinishing}) {
    for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipWorld world(Options(seed, milliseconds(5), milliseconds(2)));
      cr_assert(world.Change(1, kAckTimeout));
      LoseDiskOf(world, "a");
      cr_assert(RunUntil(world, phase), "seed %u", seed);
      world.cluster().Crash("c");
      world.RunFor(kDown);
      world.Restart("c");
      ExpectOneMoreLossIsBorne(world, seed);
    }
  }
}

}  // namespace
}  // namespace knapweedroad
