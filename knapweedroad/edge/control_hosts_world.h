// Three control hosts of three zones for tests, over real sockets and in one
// process, that are killed, lose their disks and start again.
//
//   ControlHostsWorld hosts(runtime, 71);
//   hosts.KillAll();
//   hosts.Start(0);

#ifndef KNAPWEEDROAD_EDGE_CONTROL_HOSTS_WORLD_H_
#define KNAPWEEDROAD_EDGE_CONTROL_HOSTS_WORLD_H_

#include <criterion/criterion.h>
#include <stdlib.h>

#include <array>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "knapweedroad/edge/control_host.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/registry/watch_messages.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {

using namespace std::chrono_literals;

inline constexpr size_t kHosts = 3;
inline constexpr uint16_t kControlPort = 27871;
inline constexpr uint16_t kPeerPort = 27870;
// Longer than a control host's copy of the targets on disk may be old.
inline constexpr Duration kCopied = 1200ms;

class ControlHostsWorld {
 public:
  // All have formed the members and agreed on a first configuration.
  ControlHostsWorld(Runtime& runtime, int network)
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
  ~ControlHostsWorld() {
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

  ControlHost& at(size_t index) { return *this->hosts.at(index); }

  // What the host tells those that follow it; nothing: it knows no such target.
  std::optional<TargetPhase> PhaseAt(size_t index, const TargetId& target) {
    PeerClient peer(this->runtime, {.endpoint = {this->Ip(index), kPeerPort}});
    const WatchCall call{.follower = HostId("test"),
                         .role = FollowerRole::kControl};
    const auto bytes = peer.Call(PeerMessageType::kWatch, EncodePacked(call),
                                 Runtime::Now() + 2s);
    cr_assert(bytes.has_value());
    const auto reply = DecodePacked<WatchReply>(*bytes);
    cr_assert(reply.has_value());
    for (const TargetRecord& record : reply->targets) {
      if (record.id == target) {
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

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_CONTROL_HOSTS_WORLD_H_
