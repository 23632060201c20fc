#include "knapweedroad/control/fake_cluster.h"

#include <string>

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

ChangeRequest Request(const char* id, uint64_t base) {
  return {.author = {OperatorId("anna"), RequestId(id)},
          .base_version = base,
          .configuration = id};
}

MembershipRequest Replace(const char* id,
                          const char* leaving,
                          const MemberId& joining) {
  return {.author = {OperatorId("anna"), RequestId(id)},
          .leaving = HostId(leaving),
          .joining = joining};
}

ChangeOutcome RunChange(FakeCluster& cluster,
                        const char* host,
                        const ChangeRequest& request) {
  const auto task = cluster.Change(host, request);
  cr_assert(cluster.RunUntilDone(task));
  return cluster.result(task)->outcome;
}

ChangeOutcome RunRead(FakeCluster& cluster, const char* host) {
  const auto task = cluster.Read(host);
  cr_assert(cluster.RunUntilDone(task));
  return cluster.result(task)->outcome;
}

// The version of a change that must be accepted.
uint64_t MustChange(FakeCluster& cluster,
                    const char* host,
                    const char* id,
                    uint64_t base) {
  const ChangeOutcome outcome = RunChange(cluster, host, Request(id, base));
  cr_assert(outcome.result == ChangeResult::kAccepted, "%s", id);
  return outcome.version;
}

Membership MustChangeMembers(FakeCluster& cluster,
                             const char* host,
                             const MembershipRequest& request) {
  const auto task = cluster.ChangeMembers(host, request);
  cr_assert(cluster.RunUntilDone(task));
  const auto& result = *cluster.result(task);
  cr_assert(result.outcome.result == ChangeResult::kAccepted);
  cr_assert(result.chosen->value.members.phase == MembershipPhase::kStable);
  return result.chosen->value.members;
}

Test(Agreement, AChangeAtOneHostIsReadAtAnother) {
  FakeCluster cluster({.hosts = {"a", "b", "c"}});
  cr_assert(MustChange(cluster, "a", "r-1", 0) == 1);
  cr_assert(RunRead(cluster, "c").version == 1);
  cr_assert(MustChange(cluster, "b", "r-2", 1) == 2);
}

// A host that holds no disk decides through the replicas and knows nothing at
// first.
Test(Agreement, AHostThatIsNoReplicaCanChangeAndRead) {
  FakeCluster cluster({.hosts = {"a", "b", "c"}});
  MustChange(cluster, "a", "r-1", 0);
  cluster.AddHost("diskless");
  cr_assert(RunRead(cluster, "diskless").version == 1);
  cr_assert(MustChange(cluster, "diskless", "r-2", 1) == 2);
}

// The answer to a change is lost; the operator resends it through another
// host, after all processes have restarted. It must not run twice.
Test(Agreement, AResendThroughAnotherHostAfterRestartsGetsTheFirstAnswer) {
  FakeCluster cluster({.hosts = {"a", "b", "c"}});
  MustChange(cluster, "a", "r-1", 0);
  MustChange(cluster, "a", "r-2", 1);
  for (const char* host : {"a", "b", "c"}) {
    cluster.Crash(host);
  }
  for (const char* host : {"a", "b", "c"}) {
    cluster.Restart(host);
  }
  cr_assert(MustChange(cluster, "b", "r-1", 0) == 1);
  cr_assert(RunRead(cluster, "c").version == 2);
}

// A replica has been cut off for long while the others changed on. It is asked
// for the configuration and answers with its old one as if it were current.
Test(Agreement, AMinorityNeitherReadsNorChangesAndDisturbsNobodyWhenBack) {
  FakeCluster cluster({.hosts = {"a", "b", "c"}});
  MustChange(cluster, "a", "r-1", 0);
  cluster.CutOff({"a"});
  MustChange(cluster, "b", "r-2", 1);
  cr_assert(RunRead(cluster, "a").result == ChangeResult::kUnknown);
  cr_assert(RunChange(cluster, "a", Request("r-3", 1)).result ==
            ChangeResult::kUnknown);
  cluster.Heal();
  cr_assert(RunRead(cluster, "a").version == 2);
  cr_assert(MustChange(cluster, "c", "r-4", 2) == 3);
}

// A replica loses its disk and comes back under its old name. Another replica
// is cut off. The blank one helps to a majority that has never heard of the
// accepted change, and the change is gone.
Test(Agreement, ABlankReplicaDoesNotCountAsTheOldMember) {
  FakeCluster cluster({.hosts = {"a", "b", "c"}});
  MustChange(cluster, "a", "r-1", 0);
  cluster.CutOff({"c"});
  MustChange(cluster, "a", "r-2", 1);
  cluster.Crash("a");
  cluster.LoseDisk("a");
  cluster.Restart("a");
  cluster.Heal();
  cluster.CutOff({"b"});
  cr_assert(RunRead(cluster, "c").result == ChangeResult::kUnknown);
  cluster.Heal();
  cr_assert(RunRead(cluster, "c").version == 2);
}

// A replica's disk is lost and the host takes part again as a new member; then
// a second host is lost. What was accepted before must still be there.
Test(Agreement, AfterARepairASecondHostMayBeLost) {
  FakeCluster cluster({.hosts = {"a", "b", "c"}});
  MustChange(cluster, "a", "r-1", 0);
  cluster.CutOff({"c"});
  MustChange(cluster, "a", "r-2", 1);
  cluster.Heal();
  cluster.Crash("a");
  cluster.LoseDisk("a");
  cluster.Restart("a");
  MustChangeMembers(cluster, "c",
                    Replace("m-1", "a", cluster.acceptor("a")->id()));
  cluster.Crash("b");
  cluster.LoseDisk("b");
  cluster.Restart("b");
  cr_assert(RunRead(cluster, "c").version == 2);
  MustChangeMembers(cluster, "c",
                    Replace("m-2", "b", cluster.acceptor("b")->id()));
  cr_assert(MustChange(cluster, "a", "r-3", 2) == 3);
}

// A replacement is confirmed although the new member never got the value. The
// only other holder is lost, and the accepted change with it. Cause: the new
// member counted before it held the value.
Test(Agreement, AJoiningMemberThatHoldsNothingKeepsTheChangeOpen) {
  FakeCluster cluster({.hosts = {"a", "b", "c"}});
  MustChange(cluster, "a", "r-1", 0);
  const MemberId joining = cluster.AddHost("d");
  cluster.Crash("d");
  const auto request = Replace("m-1", "c", joining);
  const auto task = cluster.ChangeMembers("a", request);
  cr_assert(cluster.RunUntilDone(task));
  cr_assert(cluster.acceptor("a")->current().value->members.phase ==
            MembershipPhase::kJoining);
  cr_assert(MustChange(cluster, "b", "r-2", 1) == 2);
  cluster.Restart("d");
  const Membership members = MustChangeMembers(cluster, "b", request);
  cr_assert(members.FindCurrent(HostId("d")) == joining);
  cr_assert(cluster.acceptor("d")->current().value->version == 2);
}

// The host that was to join is gone for good while the change is running; no
// other change of members could ever begin.
Test(Agreement, AChangeOfMembersCanBeGivenUp) {
  FakeCluster cluster({.hosts = {"a", "b", "c"}});
  MustChange(cluster, "a", "r-1", 0);
  const MemberId joining = cluster.AddHost("d");
  cluster.Crash("d");
  cluster.RunUntilDone(
      cluster.ChangeMembers("a", Replace("m-1", "c", joining)));
  const Membership members = MustChangeMembers(
      cluster, "b",
      {.author = {OperatorId("anna"), RequestId("m-2")}, .give_up = true});
  cr_assert(members.current.size() == 3 && members.FindCurrent(HostId("c")));
  const Membership after = MustChangeMembers(
      cluster, "b", Replace("m-3", "c", cluster.AddHost("e")));
  cr_assert(after.FindCurrent(HostId("e")).has_value());
}

// A host knows only the members of long ago. They have left one after the
// other since and still run. Through them it reads, and changes, a second
// configuration beside the one that is in force.
Test(Agreement, MembersThatLeftDecideNothing) {
  FakeCluster cluster({.hosts = {"a", "b", "c"}});
  MustChange(cluster, "a", "r-1", 0);
  MustChangeMembers(cluster, "a", Replace("m-1", "a", cluster.AddHost("d")));
  MustChangeMembers(cluster, "b", Replace("m-2", "b", cluster.AddHost("e")));
  MustChange(cluster, "e", "r-2", 1);
  cluster.AddHost("late");
  cr_assert(RunRead(cluster, "late").version == 2);
  cluster.CutOff({"a", "b", "late"});
  cr_assert(RunRead(cluster, "late").result == ChangeResult::kUnknown);
  cr_assert(RunChange(cluster, "late", Request("r-3", 1)).result ==
            ChangeResult::kUnknown);
}

// Two of the three first replicas lose their disks. The third still holds what
// was accepted; a new first membership would forget it.
Test(Agreement, AMembershipIsFormedOnlyOutOfBlankReplicas) {
  FakeCluster cluster({.hosts = {"a", "b", "c"}});
  MustChange(cluster, "a", "r-1", 0);
  for (const char* host : {"a", "b"}) {
    cluster.Crash(host);
    cluster.LoseDisk(host);
    cluster.Restart(host);
  }
  cr_assert(RunRead(cluster, "a").result == ChangeResult::kUnknown);
  cr_assert(RunChange(cluster, "b", Request("r-1", 0)).result ==
            ChangeResult::kUnknown);
}

Test(Agreement, ReplicasAreAddedAndRemoved) {
  FakeCluster cluster({.hosts = {"a", "b", "c"}});
  const ChangeAuthor first{OperatorId("anna"), RequestId("m-1")};
  const ChangeAuthor second{OperatorId("anna"), RequestId("m-2")};
  const MemberId joining = cluster.AddHost("d");
  auto members =
      MustChangeMembers(cluster, "a", {.author = first, .joining = joining});
  cr_assert(members.current.size() == 4);
  members = MustChangeMembers(cluster, "d",
                              {.author = second, .leaving = HostId("a")});
  cr_assert(members.current.size() == 3);
  cr_assert(!members.FindCurrent(HostId("a")).has_value());
}

}  // namespace
}  // namespace knapweedroad
