// Losses of control hosts in virtual time, each after the time in which the one
// before has to be made good.

#include <random>
#include <string>

#include <criterion/criterion.h>

#include "knapweedroad/control/membership_world.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A host that is back, or has replaced another one, counts as lost for as long.
constexpr Duration kCatchUp = seconds(4);
constexpr Duration kAckTimeout = seconds(5);
constexpr Duration kRecovery = seconds(12);

void LoseDiskOf(MembershipWorld& world,
                const std::string& host,
                Duration down) {
  world.cluster().Crash(host);
  world.cluster().LoseDisk(host);
  world.RunFor(down);
  world.Restart(host);
}

// A replaced host's disk and, when its successor has had its time, another
// disk are lost: the acknowledged configuration must still be read. Cause: the
// successor was added beside the lost member.
Test(membership_recovery, a_disk_is_lost_after_a_replacement) {
  MembershipWorld world({.hosts = {"a", "b", "c"}});
  cr_assert(world.Change(1, kAckTimeout));
  world.cluster().Crash("a");
  world.RunFor(seconds(1));
  world.AddHost("d");
  world.RunFor(kCatchUp);
  cr_assert(world.Change(2, kAckTimeout));
  LoseDiskOf(world, "b", seconds(1));
  cr_expect(world.Read(kRecovery) == 2);
  cr_expect(world.Change(3, kAckTimeout));
}

// Two machines are replaced one after the other, and then all processes are
// killed: nothing can be read or changed for good. Cause: as above.
Test(membership_recovery, two_replacements_and_a_kill_of_all) {
  for (const int gap_s : {5, 8, 12, 17}) {
    MembershipWorld world({.hosts = {"a", "b", "c"}});
    cr_assert(world.Change(1, kAckTimeout));
    world.cluster().Crash("a");
    world.RunFor(seconds(1));
    world.AddHost("d");
    world.RunFor(seconds(gap_s) - seconds(1));
    world.cluster().Crash("b");
    world.RunFor(seconds(1));
    world.AddHost("e");
    world.RunFor(kCatchUp);
    cr_assert(world.Change(2, kAckTimeout), "gap of %d s", gap_s);
    for (const char* host : {"c", "d", "e"}) {
      world.cluster().Crash(host);
    }
    world.RunFor(milliseconds(700));
    for (const char* host : {"c", "d", "e"}) {
      world.Restart(host);
    }
    cr_expect(world.Read(kRecovery) == 2, "gap of %d s", gap_s);
    cr_expect(world.Change(3, kAckTimeout), "gap of %d s", gap_s);
  }
}

// The joining host loses its disk while its change runs, and then another host
// does. Cause: the change was ended by name, and the name answered.
Test(membership_recovery, a_disk_is_lost_again_while_its_host_joins) {
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    MembershipWorld world({.seed = seed, .hosts = {"a", "b", "c"}});
    cr_assert(world.Change(1, kAckTimeout));
    LoseDiskOf(world, "a", seconds(1));
    world.RunFor(milliseconds(5) * (seed % 20));
    LoseDiskOf(world, "a", milliseconds(200));
    world.RunFor(kCatchUp);
    cr_assert(world.Change(2, kAckTimeout), "seed %u", seed);
    LoseDiskOf(world, "b", seconds(1));
    cr_expect(world.Read(kRecovery) == 2, "seed %u", seed);
  }
}

// A machine is removed as planned long after its successor has started: from
// then on one more loss has to be borne at once.
Test(membership_recovery, a_disk_is_lost_right_after_a_planned_removal) {
  MembershipWorld world({.hosts = {"a", "b", "c"}});
  cr_assert(world.Change(1, kAckTimeout));
  world.AddHost("d");
  world.RunFor(kCatchUp);
  cr_assert(world.Change(2, kAckTimeout));
  world.Stop("a");
  LoseDiskOf(world, "b", seconds(1));
  cr_expect(world.Read(kRecovery) == 2);
  cr_expect(world.Change(3, kAckTimeout));
}

// One history: disturbances drawn by lot, each made good before the next disk
// is lost, with hosts restarted, frozen or cut off in between.
class Disturbances {
 public:
  explicit Disturbances(uint32_t seed)
      : random(seed), world({.seed = seed, .hosts = {"a", "b", "c"}}) {}

  // What went wrong first; empty if nothing did.
  std::string Play() {
    if (!this->world.Change(++this->number, kAckTimeout)) {
      return "first change";
    }
    for (int round = 0; round < 6; ++round) {
      this->LoseOne();
      if (this->Draw(2) == 0) {
        this->DisturbAnother();
      }
      this->world.RunFor(kCatchUp);
      if (this->world.Read(kAckTimeout) != this->number) {
        return this->story + "read";
      }
      if (!this->world.Change(++this->number, kAckTimeout)) {
        return this->story + "change";
      }
    }
    return "";
  }

 private:
  int Draw(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(this->random);
  }
  Duration DrawSpan(Duration least, Duration most) {
    std::uniform_int_distribution<int64_t> span(least.count(), most.count());
    return Duration(span(this->random));
  }
  std::string DrawHost() {
    const auto running = this->world.Running();
    return running[this->Draw(static_cast<int>(running.size()))];
  }
  std::string NewHost() { return "n" + std::to_string(++this->added); }

  void LoseOne() {
    const std::string host = this->DrawHost();
    switch (this->Draw(3)) {
      case 0: {
        this->story += "replace " + host + "; ";
        this->world.cluster().Crash(host);
        this->world.RunFor(this->DrawSpan(milliseconds(0), seconds(2)));
        this->world.AddHost(this->NewHost());
        return;
      }
      case 1: {
        this->story += "replace as planned " + host + "; ";
        this->world.AddHost(this->NewHost());
        this->world.RunFor(this->DrawSpan(milliseconds(0), seconds(3)));
        this->world.Stop(host);
        return;
      }
      default: {
        this->story += "lose the disk of " + host + "; ";
        LoseDiskOf(this->world, host,
                   this->DrawSpan(milliseconds(300), seconds(3)));
        return;
      }
    }
  }

  void DisturbAnother() {
    this->world.RunFor(this->DrawSpan(milliseconds(0), seconds(4)));
    const std::string host = this->DrawHost();
    const Duration span = this->DrawSpan(milliseconds(200), seconds(7));
    FakeCluster& cluster = this->world.cluster();
    switch (this->Draw(3)) {
      case 0:
        this->story += "restart " + host + "; ";
        cluster.Crash(host);
        this->world.RunFor(span);
        this->world.Restart(host);
        return;
      case 1:
        this->story += "freeze " + host + "; ";
        cluster.Freeze(host);
        this->world.RunFor(span);
        cluster.Thaw(host);
        return;
      default:
        this->story += "cut off " + host + "; ";
        cluster.CutOff({host});
        this->world.RunFor(span);
        cluster.Heal();
        return;
    }
  }

  std::mt19937 random;
  MembershipWorld world;
  uint64_t number = 0;
  int added = 0;
  std::string story;
};

// Any order of replacements, lost disks, restarts, freezes and cuts that leaves
// hosts the time to catch up ends service or loses what was acknowledged.
Test(membership_recovery, losses_one_after_the_other_lose_nothing) {
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    const std::string fault = Disturbances(seed).Play();
    cr_expect(fault.empty(), "seed %u: %s", seed, fault.c_str());
  }
}

}  // namespace
}  // namespace knapweedroad
