// Control hosts in virtual time that keep their members in order as
// ReplicaMembership does: for tests of what a change of members has to bear.
//
//   MembershipWorld world({.seed = 1, .hosts = {"a", "b", "c"}});
//   world.cluster().Crash("a");
//   world.AddHost("d");
//   world.RunFor(seconds(4));

#ifndef KNAPWEEDROAD_CONTROL_MEMBERSHIP_WORLD_H_
#define KNAPWEEDROAD_CONTROL_MEMBERSHIP_WORLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/control/fake_cluster.h"
#include "knapweedroad/control/membership_controller.h"

namespace knapweedroad {

class MembershipWorld {
 public:
  explicit MembershipWorld(const FakeClusterOptions& options);

  // An empty machine at another address. Its settings name `seeds`, or three
  // hosts that run where it is empty.
  void AddHost(const std::string& host,
               const std::vector<std::string>& seeds = {});
  // With the settings that it had.
  void Restart(const std::string& host);
  // Leaves the members as at a termination signal, and ends for good.
  void Stop(const std::string& host);

  void RunFor(Duration span);

  // The host is down for that long, and back with its disk or without it.
  void RestartAfter(const std::string& host, Duration down);
  void LoseDiskOf(const std::string& host, Duration down);

  // Whether some running host has accepted members in that phase in time.
  bool RunUntil(MembershipPhase phase, Duration within);

  // Whether the change is acknowledged within the time, through any host that
  // runs; the same again is sent to the next one after a second.
  bool Change(uint64_t number, Duration within);
  // The newest acknowledged number; nothing if no host can tell in time.
  std::optional<uint64_t> Read(Duration within);
  // Whether each host that runs tells this number in time.
  bool AllRead(uint64_t number, Duration within);

  FakeCluster& cluster() { return this->replicas; }
  // Hosts that run, whether or not they are members.
  std::vector<std::string> Running() const;

 private:
  struct Watcher {
    std::unique_ptr<MembershipController> controller;
    std::optional<FakeCluster::TaskId> task;
    TimePoint task_end;
    TimePoint next_look;
    // Hosts of the settings, and those heard of since the start.
    std::set<std::string> heard;
    bool has_version = false;
  };

  void Boot(const std::string& host);
  std::optional<uint64_t> ReadAt(const std::string& host);
  // What the host learns of the replicas at those that it knows.
  ReplicaSurvey Survey(const std::string& host);
  // Control hosts that the host follows of itself.
  std::vector<HostId> Contacts(const std::string& host) const;
  // Hosts that follow one another tell each other of the hosts they hear.
  void Exchange(const std::string& host, const std::set<MemberId>& answering);
  void Look(const std::string& host, Watcher& watcher);
  MemberView View(const std::string& host);
  void Act(const std::string& host,
           Watcher& watcher,
           const MemberAction& action);
  MembershipRequest Resolve(const MemberAction& action);

  FakeCluster replicas;
  std::mt19937 random;
  std::map<std::string, Watcher> watchers;
  std::map<std::string, std::vector<std::string>> seeds;
  uint64_t requests = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_MEMBERSHIP_WORLD_H_
