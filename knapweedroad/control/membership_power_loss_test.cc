// Losses of control hosts in virtual time while all others lose power, after
// machines have been replaced and while members change.

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

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

struct HistoryOptions {
  uint32_t seed = 1;
  int members = 3;
};

// A history of one seed, and what went wrong first in it.
class History {
 public:
  explicit History(HistoryOptions options)
      : options(options),
        random(options.seed),
        world({.seed = options.seed, .hosts = {"a", "b", "c"}}) {
    this->Change();
    for (int i = 3; i < options.members; ++i) {
      this->Add();
      this->world.RunFor(kCatchUp);
    }
    this->Change();
  }

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
  void Wait(Duration span) { this->world.RunFor(span); }

  void Change() {
    if (this->fault.empty() &&
        !this->world.Change(++this->number, kAckTimeout)) {
      this->fault = this->story + "no change";
    }
  }
  // What was acknowledged is read through each host, and changes again.
  void Check() {
    if (this->fault.empty() && !this->world.AllRead(this->number, kRecovery)) {
      this->fault = this->story + "no read";
    }
    this->Change();
  }

  std::string Add() {
    std::string host = "m" + std::to_string(++this->added);
    this->world.AddHost(host);
    this->story += "+" + host + " ";
    return host;
  }
  void Replace(const std::string& host) {
    if (this->Draw(2) == 0) {
      this->story += "planned ";
      this->Add();
      this->Wait(this->DrawSpan(seconds(1), seconds(3)));
      this->story += "-" + host + "; ";
      this->world.Stop(host);
      return;
    }
    this->story += "-" + host + " ";
    this->world.cluster().Crash(host);
    this->Wait(seconds(1));
    this->Add();
  }
  // Hosts come back one by one; the named one without its disk.
  void LosePower(const std::string& lost_disk = "") {
    this->story += "power, disk of " + lost_disk + "; ";
    std::vector<std::pair<TimePoint, std::string>> back;
    for (const std::string& host : this->world.Running()) {
      this->world.cluster().Crash(host);
      back.emplace_back(this->world.cluster().now() +
                            this->DrawSpan(milliseconds(700), seconds(2)),
                        host);
    }
    if (!lost_disk.empty()) {
      this->world.cluster().LoseDisk(lost_disk);
    }
    std::ranges::sort(back);
    for (const auto& [when, host] : back) {
      this->Wait(when - this->world.cluster().now());
      this->world.Restart(host);
    }
  }
  void LoseDisk(const std::string& host, Duration down) {
    this->story += "disk of " + host + "; ";
    this->world.cluster().Crash(host);
    this->world.cluster().LoseDisk(host);
    this->Wait(down);
    this->world.Restart(host);
  }
  MembershipWorld& hosts() { return this->world; }

  void Expect() const {
    cr_expect(this->fault.empty(), "seed %u, %d members: %s",
              this->options.seed, this->options.members, this->fault.c_str());
  }

 private:
  HistoryOptions options;
  std::mt19937 random;
  MembershipWorld world;
  uint64_t number = 0;
  int added = 0;
  std::string story;
  std::string fault;
};

// Machines are replaced one after the other; then a disk is lost while all
// others lose power, right after a change was acknowledged. The configuration
// can't be read any more.
Test(membership_power_loss, a_disk_and_all_power_after_three_replacements) {
  for (uint32_t seed = 1; seed <= 300; ++seed) {
    History history({.seed = seed, .members = 3 + static_cast<int>(seed % 3)});
    for (int i = 0; i < 3; ++i) {
      const std::string oldest(1, static_cast<char>('a' + i));
      history.Replace(seed % 2 == 0 ? oldest : history.DrawHost());
      history.Wait(seconds(7));
    }
    history.Change();
    history.LosePower(history.DrawHost());
    history.Check();
    history.Wait(kCatchUp);
    history.Change();
    if (history.Draw(2) == 0) {
      history.LosePower(history.DrawHost());
    } else {
      history.LoseDisk(history.DrawHost(), seconds(1));
    }
    history.Check();
    history.Expect();
  }
}

// Power is lost at any moment of a change of members: the joint members are
// never left.
Test(membership_power_loss, power_is_lost_while_members_change) {
  for (uint32_t seed = 1; seed <= 300; ++seed) {
    History history({.seed = seed, .members = 3 + static_cast<int>(seed % 3)});
    const std::string host = history.DrawHost();
    if (history.Draw(2) == 0) {
      history.LoseDisk(host, milliseconds(500));
    } else {
      history.Replace(host);
    }
    history.Wait(history.DrawSpan(milliseconds(0), milliseconds(2000)));
    history.LosePower();
    history.Check();
    history.Wait(kCatchUp);
    history.Change();
    history.LosePower(history.DrawHost());
    history.Check();
    history.Expect();
  }
}

// A machine that joins is lost again at any step of its joining, kFinishing
// among them, and then another disk and all power.
Test(membership_power_loss, a_joining_member_is_lost_again) {
  for (uint32_t seed = 1; seed <= 300; ++seed) {
    History history({.seed = seed, .members = 3 + static_cast<int>(seed % 3)});
    std::string joining;
    if (history.Draw(2) == 0) {
      joining = history.Add();
    } else {
      joining = history.DrawHost();
      history.LoseDisk(joining, milliseconds(500));
    }
    history.Wait(history.DrawSpan(milliseconds(0), milliseconds(300)));
    if (history.Draw(2) == 0) {
      history.LoseDisk(joining, milliseconds(200));
    } else {
      history.hosts().cluster().Crash(joining);
      history.Wait(seconds(1));
      history.Add();
    }
    history.Wait(kCatchUp);
    history.Change();
    history.LosePower(history.DrawHost());
    history.Check();
    history.Expect();
  }
}

}  // namespace
}  // namespace knapweedroad
