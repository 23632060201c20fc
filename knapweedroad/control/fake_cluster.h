// Control replicas in virtual time, for tests: a seeded network that delays,
// loses, repeats and reorders messages, disks that can be lost, and crashes in
// the middle of a sync.
//
//   FakeCluster cluster({.seed = 1, .hosts = {"a", "b", "c"}});
//   auto task = cluster.Change("a", request);
//   cluster.RunFor(5s);
//   cr_assert(cluster.result(task)->outcome.result == kAccepted);

#ifndef KNAPWEEDROAD_CONTROL_FAKE_CLUSTER_H_
#define KNAPWEEDROAD_CONTROL_FAKE_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/control/acceptor.h"
#include "knapweedroad/control/change_run.h"
#include "knapweedroad/control/proposer.h"
#include "knapweedroad/control/replica_survey.h"

namespace knapweedroad {

struct FakeClusterOptions {
  uint32_t seed = 1;
  // The first members.
  std::vector<std::string> hosts;
  // Chances of a message, from 0 to 1.
  double loss = 0.0;
  double repeat = 0.0;
  Duration max_delay = std::chrono::milliseconds(5);
  Duration sync_time = std::chrono::milliseconds(2);
  Duration deadline = std::chrono::seconds(5);
  // See ChangeRunOptions.
  Duration attempt_timeout = std::chrono::milliseconds(100);
  // A fault: replies leave before their record is synced.
  bool answer_before_sync = false;
};

class FakeCluster {
 public:
  using TaskId = size_t;

  explicit FakeCluster(FakeClusterOptions options);

  // Starts a task at a host; it ends with a result or with the host's crash.
  TaskId Change(const std::string& host, ChangeRequest request);
  TaskId Read(const std::string& host);
  // Step after step until the members are stable again.
  TaskId ChangeMembers(const std::string& host, MembershipRequest request);
  // The same with a change that another host has begun.
  TaskId CarryOn(const std::string& host);

  // Absent while it runs and if its host crashed.
  const std::optional<RunResult>& result(TaskId task) const;
  TimePoint started(TaskId task) const;
  // Only with a result.
  TimePoint ended(TaskId task) const;

  void RunFor(Duration time);
  // Runs until the task has a result; false if it never will.
  bool RunUntilDone(TaskId task);
  TimePoint now() const { return this->time; }

  // Loses tasks, promises in memory and, by chance, the record being synced.
  void Crash(const std::string& host);
  // With what was synced; a host without a disk's content becomes a new member.
  void Restart(const std::string& host);
  // Only while crashed.
  void LoseDisk(const std::string& host);
  // Stands still: what reaches it and what it waits for is handled after
  // Thaw().
  void Freeze(const std::string& host);
  void Thaw(const std::string& host);
  // From now on each sync of the host takes up to `sync_time`.
  void SlowDisk(const std::string& host, Duration sync_time);
  // These hosts hear only each other until Heal().
  void CutOff(std::set<std::string> hosts);
  void Heal();

  bool is_running(const std::string& host) const;
  // What the replicas tell a host that asks these now, or all of them where
  // `asked` is empty. It learns a chosen value from that, and its runs begin
  // with the same hosts.
  ReplicaSurvey Survey(const std::string& host,
                       const std::set<std::string>& asked = {});

  // Adds a host with a blank disk, if need be, and returns its identity.
  MemberId AddHost(const std::string& host);
  const Acceptor* acceptor(const std::string& host) const;
  // The newest accepted value that the host has seen since its start.
  const std::optional<BallotedValue>& known(const std::string& host) const;

 private:
  struct Host;
  struct Task;

  struct Delivery {
    std::string from;
    std::string to;
    std::optional<TaskId> task;
    ControlMessage message;
  };

  TaskId StartMove(const std::string& host,
                   std::optional<MembershipRequest> request);
  Task& StartTask(const std::string& host, ChangeRun run);
  void At(TimePoint when, std::function<void()> action);
  void Take(TaskId id, RunActions actions);
  void Send(const Delivery& delivery);
  void Deliver(const Delivery& delivery);
  void Serve(Host& host, const Delivery& delivery);
  void AnswerAfterSync(Host& host,
                       const Delivery& request,
                       ControlMessage reply,
                       std::optional<AcceptorRecord> record);
  void ServeNext(Host& host);
  bool IsConnected(const std::string& from, const std::string& to) const;
  // Runs the action once the host isn't frozen.
  void WhenThawed(const std::string& host, std::function<void()> action);
  void Boot(Host& host);
  bool Chance(double probability);
  Duration Delay(Duration longest);

  FakeClusterOptions options;
  std::mt19937 random;
  TimePoint time;
  std::multimap<TimePoint, std::function<void()>> events;
  std::map<std::string, std::shared_ptr<Host>> hosts;
  std::vector<std::shared_ptr<Task>> tasks;
  std::set<std::string> cut_off;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONTROL_FAKE_CLUSTER_H_
