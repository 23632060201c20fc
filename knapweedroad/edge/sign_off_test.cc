// What a target's sign-off or draining that was acknowledged outlives: three
// control hosts over real sockets, in one process.

#include <criterion/criterion.h>
#include <stdlib.h>

#include <array>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "knapweedroad/edge/control_host.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/registry/watch_messages.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr size_t kHosts = 3;
constexpr uint16_t kControlPort = 27871;
constexpr uint16_t kPeerPort = 27870;
// Longer than a control host's copy of the targets on disk may be old.
constexpr Duration kCopied = 1200ms;
const TargetId kTarget("t");

TargetRecord Record(uint64_t sequence, TargetPhase phase) {
  return {.id = kTarget,
          .service = ServiceId("s"),
          .zone = ZoneId("z0"),
          .address = {"10.0.0.1", 8080},
          .slots = 2,
          .started_ms = 1000,
          .sequence = sequence,
          .phase = phase};
}

class Hosts {
 public:
  Hosts(Runtime& runtime, int network)
      : runtime(runtime), network("127.0." + std::to_string(network) + ".") {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "kwr-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    for (size_t index = 0; index < kHosts; ++index) {
      this->Start(index, /*is_first_start=*/true);
    }
    cr_assert(this->Until([&] {
      return this->hosts[0]->PutRouting(7, "text", Runtime::Now() + 1s);
    }));
    // Each has looked at the members.
    Runtime::SleepFor(kCopied);
  }
  ~Hosts() {
    this->KillAll();
    std::filesystem::remove_all(this->folder);
  }

  void Start(size_t index, bool is_first_start = false) {
    RoleSettings settings{
        .name = HostId("c" + std::to_string(index)),
        .zone = ZoneId("z" + std::to_string(index)),
        .control_address = Endpoint{this->Ip(index), kControlPort},
        .peer_address = {this->Ip(index), kPeerPort},
        .first_start = is_first_start,
        .data_folder = this->Folder(index)};
    for (size_t seed = 0; seed < kHosts; ++seed) {
      settings.control_seeds.push_back({this->Ip(seed), kControlPort});
    }
    this->hosts[index] = std::make_unique<ControlHost>(
        this->runtime, ControlHostOptions{.settings = settings,
                                          .on_request = [](const HttpRequest&,
                                                           const CallOrigin&) {
                                            return HttpResponse();
                                          }});
    cr_assert(this->hosts[index]->Start().has_value());
  }
  // The next process gets a copy of the folder as it is now.
  void Kill(size_t index) {
    if (this->hosts[index] != nullptr) {
      const std::string from = this->Folder(index);
      ++this->lives[index];
      std::filesystem::copy(from, this->Folder(index));
      this->hosts[index].reset();
    }
  }
  void KillAll() {
    for (size_t index = 0; index < kHosts; ++index) {
      this->Kill(index);
    }
  }
  void LoseDisk(size_t index) {
    this->Kill(index);
    std::filesystem::remove_all(this->Folder(index));
  }

  AnnounceResult Announce(size_t index, uint64_t sequence, TargetPhase phase) {
    return this->hosts[index]->Announce(Record(sequence, phase),
                                        Runtime::Now() + 900ms);
  }
  AnnounceResult SignOff(size_t index) {
    return this->hosts[index]->SignOff(kTarget, 1000, 3,
                                       Runtime::Now() + 900ms);
  }

  // What the host tells those that follow it; nothing: it knows no such target.
  std::optional<TargetPhase> PhaseAt(size_t index) {
    PeerClient peer(this->runtime, {.endpoint = {this->Ip(index), kPeerPort}});
    const WatchCall call{.follower = HostId("test"),
                         .role = FollowerRole::kControl};
    const auto bytes = peer.Call(PeerMessageType::kWatch, EncodePacked(call),
                                 Runtime::Now() + 2s);
    cr_assert(bytes.has_value());
    const auto reply = DecodePacked<WatchReply>(*bytes);
    cr_assert(reply.has_value());
    for (const TargetRecord& record : reply->targets) {
      if (record.id == kTarget) {
        return record.phase;
      }
    }
    return std::nullopt;
  }

  bool Until(const std::function<bool()>& is_done) {
    const TimePoint give_up = Runtime::Now() + 15s;
    while (Runtime::Now() < give_up) {
      if (is_done()) {
        return true;
      }
      Runtime::SleepFor(20ms);
    }
    return false;
  }

 private:
  std::string Ip(size_t index) const {
    return this->network + std::to_string(index + 1);
  }
  std::string Folder(size_t index) const {
    return this->folder + "/" + std::to_string(index) + "-" +
           std::to_string(this->lives.at(index));
  }

  Runtime& runtime;
  std::string network;
  std::string folder;
  std::array<int, kHosts> lives{};
  std::array<std::unique_ptr<ControlHost>, kHosts> hosts;
};

void Play(int network, const std::function<void(Hosts&)>& story) {
  Runtime runtime;
  runtime.Spawn([&] {
    {
      Hosts hosts(runtime, network);
      story(hosts);
    }
    runtime.Stop();
  });
  runtime.Run();
}

void AnnounceToAll(Hosts& hosts) {
  cr_assert(hosts.Announce(0, 1, TargetPhase::kServing) ==
            AnnounceResult::kAccepted);
  for (size_t index = 0; index < kHosts; ++index) {
    cr_assert(hosts.Until(
        [&] { return hosts.PhaseAt(index) == TargetPhase::kServing; }));
  }
  Runtime::SleepFor(kCopied);
}

// All processes are killed right after the acknowledgement; their copies of the
// targets still name the one that signed off as serving.
Test(sign_off, outlives_a_kill_of_all_hosts, .timeout = 60) {
  Play(71, [](Hosts& hosts) {
    AnnounceToAll(hosts);
    cr_assert(hosts.SignOff(0) == AnnounceResult::kAccepted);
    hosts.KillAll();
    for (size_t index = 0; index < kHosts; ++index) {
      hosts.Start(index);
    }
    for (size_t index = 0; index < kHosts; ++index) {
      cr_expect(hosts.Until(
          [&] { return hosts.PhaseAt(index) == TargetPhase::kGone; }));
    }
    // A late heartbeat.
    hosts.Announce(1, 2, TargetPhase::kServing);
    cr_expect(hosts.PhaseAt(1) == TargetPhase::kGone);
  });
}

// The host that acknowledged is lost with its disk in the same moment as all
// others lose their processes.
Test(sign_off, outlives_the_host_that_acknowledged, .timeout = 60) {
  Play(72, [](Hosts& hosts) {
    AnnounceToAll(hosts);
    cr_assert(hosts.Announce(0, 2, TargetPhase::kLeaving) ==
              AnnounceResult::kAccepted);
    hosts.LoseDisk(0);
    hosts.KillAll();
    hosts.Start(1);
    hosts.Start(2);
    for (const size_t index : {1, 2}) {
      cr_expect(hosts.Until(
          [&] { return hosts.PhaseAt(index) == TargetPhase::kLeaving; }));
    }
  });
}

// A sign-off overtakes the announcement, which then makes the target serve.
Test(sign_off, before_the_announcement_ends_the_target, .timeout = 60) {
  Play(73, [](Hosts& hosts) {
    cr_assert(hosts.SignOff(0) == AnnounceResult::kAccepted);
    hosts.Announce(0, 2, TargetPhase::kServing);
    hosts.Announce(1, 2, TargetPhase::kServing);
    cr_expect(hosts.PhaseAt(0) == TargetPhase::kGone);
    cr_expect(
        hosts.Until([&] { return hosts.PhaseAt(1) == TargetPhase::kGone; }));
  });
}

// A host without a quorum acknowledges what nobody else knows.
Test(sign_off, is_not_acknowledged_without_a_quorum, .timeout = 60) {
  Play(74, [](Hosts& hosts) {
    AnnounceToAll(hosts);
    hosts.LoseDisk(1);
    hosts.LoseDisk(2);
    cr_expect(hosts.SignOff(0) == AnnounceResult::kNotHeld);
    cr_expect(hosts.PhaseAt(0) == TargetPhase::kGone);
  });
}

}  // namespace
}  // namespace knapweedroad
