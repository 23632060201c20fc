#include "knapweedroad/host/control_service.h"

#include <stdlib.h>

#include <filesystem>
#include <map>
#include <set>
#include <string>

#include <criterion/criterion.h>

#include "knapweedroad/host/control_replica.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

// Hosts of one process with real files; calls between them are plain ones.
class Deployment {
 public:
  explicit Deployment(Runtime& runtime) : runtime(runtime) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "kwr-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    for (const char* host : {"a", "b", "c"}) {
      this->Start(host);
    }
  }
  ~Deployment() { std::filesystem::remove_all(this->folder); }

  void Start(const std::string& host) {
    auto replica = ControlReplica::Open(
        this->runtime, {.host = HostId(host),
                        .folder = this->folder + "/" + host,
                        .sync_fails = [this, host] {
                          return this->bad_disks.contains(host);
                        }});
    cr_assert(replica.has_value());
    this->replicas[host] = *std::move(replica);
    this->services[host] = std::make_unique<ControlService>(
        this->runtime,
        ControlServiceOptions{
            .self = HostId(host),
            .first_hosts = {HostId("a"), HostId("b"), HostId("c")},
            .replica = this->replicas[host],
            .call =
                [this, host](const HostId& to, const std::string& message,
                             TimePoint) {
                  return this->Call(host, to.str(), message);
                },
            .attempt_timeout = 2s});
  }

  void Stop(const std::string& host) {
    this->services.erase(host);
    this->replicas.erase(host);
  }

  void LoseDisk(const std::string& host) {
    std::filesystem::remove_all(this->folder + "/" + host);
  }

  ControlService& At(const std::string& host) { return *this->services[host]; }
  ControlReplica& Replica(const std::string& host) {
    return *this->replicas[host];
  }

  std::set<std::string> cut_off;
  std::set<std::string> bad_disks;

 private:
  tl::expected<std::string, std::string> Call(const std::string& from,
                                              const std::string& to,
                                              const std::string& message) {
    const auto replica = this->replicas[to];
    if (replica == nullptr ||
        this->cut_off.contains(from) != this->cut_off.contains(to)) {
      return tl::unexpected(std::string("unreachable"));
    }
    return replica->OnPeerMessage(message);
  }

  Runtime& runtime;
  std::string folder;
  std::map<std::string, std::shared_ptr<ControlReplica>> replicas;
  std::map<std::string, std::unique_ptr<ControlService>> services;
};

void InRuntime(const std::function<void(Runtime&, Deployment&)>& story) {
  Runtime runtime;
  runtime.Spawn([&] {
    {
      Deployment deployment(runtime);
      story(runtime, deployment);
    }
    runtime.Stop();
  });
  runtime.Run();
}

// For what must succeed, also where a sync of the disk takes half a second.
TimePoint Soon() {
  return Runtime::Now() + 60s;
}

// For what must fail.
TimePoint VerySoon() {
  return Runtime::Now() + 200ms;
}

ChangeAuthor Author(const char* id) {
  return {OperatorId("anna"), RequestId(id)};
}

ChangeRequest Request(const char* id, uint64_t base) {
  return {.author = Author(id), .base_version = base, .configuration = id};
}

// Everything restarts after an accepted change; the operator, who never got
// the answer, sends it again to another host.
Test(ControlService, AcceptedStaysAcceptedThroughRestartsOfEverything) {
  InRuntime([](Runtime&, Deployment& hosts) {
    const auto first = hosts.At("a").Change(Request("r-1", 0), Soon());
    cr_assert(first.result == ChangeResult::kAccepted && first.version == 1);
    for (const char* host : {"a", "b", "c"}) {
      hosts.Stop(host);
    }
    for (const char* host : {"a", "b", "c"}) {
      hosts.Start(host);
    }
    const auto value = hosts.At("c").Read(Soon());
    cr_assert(value.has_value() && value->configuration == "r-1");
    cr_assert(hosts.At("b").Change(Request("r-1", 0), Soon()) == first);
    cr_assert(hosts.At("b").Read(Soon())->version == 1);
  });
}

Test(ControlService, OfTwoHostsWithOneBaseOneWins) {
  InRuntime([](Runtime& runtime, Deployment& hosts) {
    ChangeOutcome other;
    bool done = false;
    runtime.Spawn([&] {
      other = hosts.At("b").Change(Request("r-2", 0), Soon());
      done = true;
    });
    const auto own = hosts.At("a").Change(Request("r-1", 0), Soon());
    while (!done) {
      Runtime::SleepFor(1ms);
    }
    const auto& won = own.result == ChangeResult::kAccepted ? own : other;
    const auto& lost = own.result == ChangeResult::kAccepted ? other : own;
    cr_assert(won.result == ChangeResult::kAccepted && won.version == 1);
    cr_assert(lost.result == ChangeResult::kRejected);
    cr_assert(lost.winner == Author(&won == &own ? "r-1" : "r-2"));
  });
}

// A disk fails under a replica. It answers on, loses power, and has forgotten
// what it answered. It must fall silent with the first record it can't sync.
Test(ControlService, AReplicaWhoseSyncFailedAnswersNothingAnyMore) {
  InRuntime([](Runtime&, Deployment& hosts) {
    hosts.At("a").Change(Request("r-1", 0), Soon());
    hosts.bad_disks = {"b", "c"};
    const auto unknown = hosts.At("a").Change(Request("r-2", 1), VerySoon());
    cr_assert(unknown.result == ChangeResult::kUnknown);
    const TimePoint give_up = Soon();
    while (!(hosts.Replica("b").broken() && hosts.Replica("c").broken()) &&
           Runtime::Now() < give_up) {
      Runtime::SleepFor(1ms);
    }
    hosts.bad_disks.clear();
    cr_assert(hosts.Replica("b").broken() && hosts.Replica("c").broken());
    cr_assert(!hosts.At("a").Read(VerySoon()).has_value());
  });
}

Test(ControlService, AMinorityAnswersNoRead) {
  InRuntime([](Runtime&, Deployment& hosts) {
    hosts.At("a").Change(Request("r-1", 0), Soon());
    hosts.cut_off = {"a"};
    cr_assert(!hosts.At("a").Read(VerySoon()).has_value());
    cr_assert(hosts.At("b").Read(Soon())->version == 1);
  });
}

// A disk is lost, its host repaired by one command, and then a second host is
// lost with its disk.
Test(ControlService, AHostIsReplacedByItselfAfterItsDiskWasLost) {
  InRuntime([](Runtime&, Deployment& hosts) {
    hosts.At("a").Change(Request("r-1", 0), Soon());
    hosts.Stop("a");
    hosts.LoseDisk("a");
    hosts.Start("a");
    const MoveRequest repair{.author = Author("m-1"),
                             .leaving = HostId("a"),
                             .joining = HostId("a")};
    const auto moved = hosts.At("a").Move(repair, Soon());
    cr_assert(moved.result == ChangeResult::kAccepted);
    cr_assert(hosts.Replica("a").accepted()->version == 1);
    cr_assert(hosts.At("b").Move(repair, Soon()) == moved);
    hosts.Stop("b");
    hosts.LoseDisk("b");
    cr_assert(hosts.At("c").Read(Soon())->version == 1);
    const auto next = hosts.At("a").Change(Request("r-2", 1), Soon());
    cr_assert(next.result == ChangeResult::kAccepted && next.version == 2);
  });
}

// All first replicas have been replaced, and their machines come back blank.
// Then the new replica restarts: it asked just the first ones for the members,
// found three blank replicas, formed a membership of them and told operators
// version 0, with the accepted version on its own disk.
Test(ControlService, AReplicaStartsFromItsOwnMembersAndFormsNoOthers) {
  InRuntime([](Runtime&, Deployment& hosts) {
    hosts.At("a").Change(Request("r-1", 0), Soon());
    hosts.Start("d");
    hosts.At("a").Move({.author = Author("m-d"), .joining = HostId("d")},
                       Soon());
    for (const char* host : {"a", "b", "c"}) {
      const auto moved = hosts.At("d").Move(
          {.author = Author(host), .leaving = HostId(host)}, Soon());
      cr_assert(moved.result == ChangeResult::kAccepted);
      hosts.Stop(host);
      hosts.LoseDisk(host);
    }
    hosts.Stop("d");
    for (const char* host : {"a", "b", "c", "d"}) {
      hosts.Start(host);
    }
    const auto value = hosts.At("d").Read(Soon());
    cr_assert(value.has_value() && value->version == 1);
  });
}

Test(ControlService, AFolderOfAnotherHostIsRefused) {
  InRuntime([](Runtime& runtime, Deployment& hosts) {
    const std::string folder =
        (std::filesystem::temp_directory_path() / "kwr-other").string();
    std::filesystem::remove_all(folder);
    cr_assert(
        ControlReplica::Open(runtime, {.host = HostId("x"), .folder = folder}));
    const auto other =
        ControlReplica::Open(runtime, {.host = HostId("y"), .folder = folder});
    cr_assert(!other.has_value());
    cr_assert(other.error().detail.find("host 'x'") != std::string::npos);
    std::filesystem::remove_all(folder);
    hosts.cut_off.clear();
  });
}

}  // namespace
}  // namespace knapweedroad
