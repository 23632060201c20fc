#include "knapweedroad/host/control_links.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <map>
#include <string>

#include <criterion/criterion.h>

#include "knapweedroad/host/control_replica.h"
#include "knapweedroad/host/peer_links.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

uint16_t FreePort() {
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  cr_assert(0 == bind(probe, reinterpret_cast<sockaddr*>(&address), size));
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
  close(probe);
  return ntohs(address.sin_port);
}

// Three hosts with disks and one without, over loopback sockets.
class Hosts {
 public:
  explicit Hosts(Runtime& runtime) : runtime(runtime) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "kwr-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    for (const char* name : {"a", "b", "c", "diskless"}) {
      this->all.push_back({.name = HostId(name),
                           .zone = ZoneId("leuven"),
                           .peer_address = {"127.0.0.1", FreePort()},
                           .control_replica = name[1] == '\0'});
    }
    for (const PeerSettings& host : this->all) {
      this->Start(host);
    }
  }
  ~Hosts() { std::filesystem::remove_all(this->folder); }

  ControlService& At(const char* host) {
    return *this->hosts.at(HostId(host)).control;
  }

  // The host's process ends.
  void Stop(const char* host) { this->hosts.erase(HostId(host)); }

  void Start(const PeerSettings& self) {
    const HostSettings settings{.name = self.name,
                                .zone = self.zone,
                                .peer_address = self.peer_address,
                                .hosts = this->all};
    Host& host = this->hosts[self.name];
    if (self.control_replica) {
      host.replica = *ControlReplica::Open(
          this->runtime,
          {.host = self.name, .folder = this->folder + "/" + self.name.str()});
    }
    host.links = std::make_unique<PeerLinks>(this->runtime, settings);
    ServeControl(*host.links, host.replica);
    cr_assert(host.links->Start().has_value());
    host.control = std::make_unique<ControlService>(
        this->runtime,
        ControlServiceOptions{.self = self.name,
                              .first_hosts = FirstReplicas(settings),
                              .replica = host.replica,
                              .call = ControlCallOver(*host.links)});
  }

 private:
  struct Host {
    std::shared_ptr<ControlReplica> replica;
    std::unique_ptr<PeerLinks> links;
    std::unique_ptr<ControlService> control;
  };

  Runtime& runtime;
  std::string folder;
  std::vector<PeerSettings> all;
  std::map<HostId, Host> hosts;
};

void InRuntime(const std::function<void(Hosts&)>& story) {
  Runtime runtime;
  runtime.Spawn([&] {
    {
      Hosts hosts(runtime);
      story(hosts);
    }
    runtime.Stop();
  });
  runtime.Run();
}

TimePoint In(int seconds) {
  return Runtime::Now() + std::chrono::seconds(seconds);
}

ChangeRequest Request(const char* id, uint64_t base) {
  return {.author = {OperatorId("anna"), RequestId(id)},
          .base_version = base,
          .configuration = id};
}

Test(ControlLinks, AHostWithoutADiskChangesWhatOthersRead) {
  InRuntime([](Hosts& hosts) {
    const auto made = hosts.At("diskless").Change(Request("r-1", 0), In(5));
    cr_assert(made.result == ChangeResult::kAccepted && made.version == 1);
    cr_assert(hosts.At("b").Read(In(5))->configuration == "r-1");
  });
}

Test(ControlLinks, OneReplicaLessIsNoHindranceTwoLessAre) {
  InRuntime([](Hosts& hosts) {
    hosts.At("a").Change(Request("r-1", 0), In(5));
    hosts.Stop("c");
    cr_assert(hosts.At("a").Change(Request("r-2", 1), In(5)).version == 2);
    cr_assert(hosts.At("diskless").Read(In(5))->version == 2);
    hosts.Stop("b");
    const auto change = hosts.At("a").Change(Request("r-3", 2), In(1));
    cr_assert(change.result == ChangeResult::kUnknown);
    cr_assert(!hosts.At("a").Read(In(1)).has_value());
  });
}

}  // namespace
}  // namespace knapweedroad
