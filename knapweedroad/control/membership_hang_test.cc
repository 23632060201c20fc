// Losses of control hosts in each phase of a change of members. Each must leave
// members that bear one more loss once the lost host has had time to catch up.

#include <functional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

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

// The members are restored within the catch-up time, and then another disk may
// be lost.
void ExpectOneMoreLossIsBorne(MembershipWorld& world, uint32_t seed) {
  world.RunFor(kCatchUp);
  cr_assert(world.Change(2, kAckTimeout), "seed %u", seed);
  world.LoseDiskOf("b", kDown);
  cr_expect(world.Read(kRecovery) == 2, "seed %u", seed);
  world.RunFor(kCatchUp);
  cr_expect(world.Change(3, kAckTimeout), "seed %u", seed);
}

// As of ControlService.
FakeClusterOptions Near(uint32_t seed) {
  return {.seed = seed,
          .hosts = {"a", "b", "c"},
          .attempt_timeout = milliseconds(500)};
}

// Between regions, on slow disks.
FakeClusterOptions Far(uint32_t seed) {
  FakeClusterOptions options = Near(seed);
  options.max_delay = milliseconds(30);
  options.sync_time = milliseconds(40);
  return options;
}

FakeClusterOptions Five(uint32_t seed) {
  FakeClusterOptions options = Near(seed);
  options.hosts = {"a", "b", "c", "d", "e"};
  return options;
}

FakeClusterOptions Four(uint32_t seed) {
  FakeClusterOptions options = Near(seed);
  options.hosts = {"a", "b", "c", "d"};
  return options;
}

const std::vector<MembershipPhase> kBoth = {MembershipPhase::kJoining,
                                            MembershipPhase::kFinishing};

using Trouble = std::function<void(MembershipWorld& world, uint32_t seed)>;

// A host is lost, and trouble comes once some host has accepted the phase of
// the change that follows.
void Play(const std::vector<MembershipPhase>& phases,
          const std::function<FakeClusterOptions(uint32_t seed)>& options,
          const Trouble& loss,
          const Trouble& trouble) {
  for (uint32_t play = 0; play < kSeeds * phases.size(); ++play) {
    const uint32_t seed = play / phases.size() + 1;
    MembershipWorld world(options(seed));
    cr_assert(world.Change(1, kAckTimeout));
    loss(world, seed);
    cr_assert(world.RunUntil(phases[play % phases.size()], kPhaseTimeout),
              "seed %u", seed);
    trouble(world, seed);
    ExpectOneMoreLossIsBorne(world, seed);
  }
}

void LoseDiskOfA(MembershipWorld& world, uint32_t) {
  world.LoseDiskOf("a", kDown);
}

void LoseDiskOfASoon(MembershipWorld& world, uint32_t seed) {
  world.RunFor(milliseconds(1) * (seed % 5));
  world.LoseDiskOf("a", kDown);
}

// The step that gives a change up waits for the joining replica that is gone,
// while the others' higher ballots displace it, so that no change ever ends.
Test(membership_hang, the_joining_disk_is_lost_as_it_joins) {
  Play({MembershipPhase::kJoining}, Near, LoseDiskOfA, LoseDiskOfASoon);
  Play({MembershipPhase::kJoining}, Far, LoseDiskOfA, LoseDiskOfASoon);
}

// The new set is settled and counts on a replica that is gone: the step that
// puts it in force waits for that replica.
Test(membership_hang, the_joining_disk_is_lost_as_the_change_finishes) {
  Play({MembershipPhase::kFinishing}, Near, LoseDiskOfA, LoseDiskOfASoon);
  Play({MembershipPhase::kFinishing}, Far, LoseDiskOfA, LoseDiskOfASoon);
}

// The joining disk is lost a third time while the change is undone.
Test(membership_hang, the_joining_disk_is_lost_as_the_change_is_undone) {
  Play({MembershipPhase::kJoining}, Near, LoseDiskOfA,
       [](MembershipWorld& world, uint32_t) {
         world.LoseDiskOf("a", kDown);
         if (world.RunUntil(MembershipPhase::kReverting, kPhaseTimeout)) {
           world.LoseDiskOf("a", kDown);
         }
       });
}

// The machine that joins in the place of a lost one is lost itself, in each
// phase, and a third one comes.
Test(membership_hang, the_replacing_machine_is_lost) {
  Play(
      kBoth, Near,
      [](MembershipWorld& world, uint32_t) {
        world.cluster().Crash("a");
        world.RunFor(kDown);
        world.AddHost("d");
      },
      [](MembershipWorld& world, uint32_t) {
        world.cluster().Crash("d");
        world.RunFor(kDown);
        world.AddHost("e");
      });
}

// The joining machine is cut off or stands still, until the others have given
// the change up.
Test(membership_hang, the_joining_machine_is_silent_for_a_while) {
  Play({MembershipPhase::kJoining}, Near, LoseDiskOfA,
       [](MembershipWorld& world, uint32_t seed) {
         const bool is_cut = seed % 2 == 0;
         FakeCluster& cluster = world.cluster();
         is_cut ? cluster.CutOff({"a"}) : cluster.Freeze("a");
         world.RunFor(milliseconds(100) * (seed % 30));
         is_cut ? cluster.Heal() : cluster.Thaw("a");
       });
}

// The joining machine's disk takes longer for a record than an attempt lasts,
// for longer than the others carry a change on.
Test(membership_hang, the_joining_disk_is_slow_for_a_while) {
  Play({MembershipPhase::kJoining}, Near, LoseDiskOfA,
       [](MembershipWorld& world, uint32_t) {
         world.cluster().SlowDisk("a", seconds(2));
         world.RunFor(seconds(5));
         world.cluster().SlowDisk("a", milliseconds(2));
       });
}

// Of five members two lose their disks, and one of them again as it joins.
Test(membership_hang, two_of_five_lose_their_disks) {
  Play(
      {MembershipPhase::kJoining}, Five,
      [](MembershipWorld& world, uint32_t) {
        world.cluster().Crash("e");
        world.cluster().LoseDisk("e");
        world.LoseDiskOf("a", kDown);
      },
      [](MembershipWorld& world, uint32_t) {
        world.LoseDiskOf("a", kDown);
        world.Restart("e");
      });
}

// A lost member is taken out of four, and the host that does it restarts.
Test(membership_hang, the_host_that_removes_a_member_restarts) {
  Play(
      kBoth, Four,
      [](MembershipWorld& world, uint32_t) { world.cluster().Crash("d"); },
      [](MembershipWorld& world, uint32_t) { world.RestartAfter("a", kDown); });
}

// Another member restarts in each phase: no quorum decides until it is back.
Test(membership_hang, another_member_restarts) {
  Play(kBoth, Near, LoseDiskOfA, [](MembershipWorld& world, uint32_t) {
    world.RestartAfter("c", kDown);
  });
}

}  // namespace
}  // namespace knapweedroad
