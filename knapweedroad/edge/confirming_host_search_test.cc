// How an entry host finds a control host that confirms, over real sockets, with
// stand-ins for control hosts.

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/edge/control_follower.h"
#include "knapweedroad/edge/control_host_id.h"
#include "knapweedroad/edge/freshness_client.h"
#include "knapweedroad/freshness/configuration_freshness.h"
#include "knapweedroad/freshness/confirm_messages.h"
#include "knapweedroad/net/peer_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/registry/watch_messages.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr uint16_t kPort = 27860;
constexpr uint64_t kVersion = 1;
const ZoneId kOwnZone("a");
const ZoneId kOtherZone("b");

// Claims in its watch replies that it reaches everything, and confirms if told
// to.
class FakeControlHost {
 public:
  FakeControlHost(Runtime& runtime, const std::string& ip, ZoneId zone)
      : zone(std::move(zone)),
        server(std::make_unique<PeerServer>(
            runtime,
            PeerServerOptions{.endpoint = {ip, kPort},
                              .handler = [this](PeerMessageType type,
                                                const std::string& body) {
                                return this->Answer(type, body);
                              }})) {
    cr_assert(this->server->Start().has_value());
  }

  // Calls that are running end later.
  void Stop() { this->server.reset(); }

  // When its newest confirmation began; absent: just now.
  std::optional<BootTime> stopped_at;
  // Tells entry hosts their zones.
  std::vector<ControlHostRecord> all;

 private:
  tl::expected<std::string, std::string> Answer(PeerMessageType type,
                                                const std::string& body) {
    if (type == PeerMessageType::kConfirm) {
      const BootTime now = BootClock::now();
      return EncodeCompact(ConfirmReply{
          .is_confirmed = true,
          .version = kVersion,
          .offset_us = std::chrono::floor<std::chrono::microseconds>(
                           this->stopped_at.value_or(now) - now)
                           .count()});
    }
    const auto call = DecodePacked<WatchCall>(body);
    cr_assert(call.has_value());
    if (call->epoch != 0) {
      Runtime::SleepFor(200ms);
    }
    return EncodePacked(WatchReply{.zone = this->zone,
                                   .epoch = 1,
                                   .agreed_version = kVersion,
                                   .has_hosts = call->epoch == 0,
                                   .control_hosts = this->all,
                                   .has_full_view = true,
                                   .has_quorum = true});
  }

  ZoneId zone;
  std::unique_ptr<PeerServer> server;
};

struct World {
  World(Runtime& runtime, int network)
      : runtime(runtime), network("127.0." + std::to_string(network) + ".") {
    for (int i = 0; i < 7; ++i) {
      const std::string ip = this->network + std::to_string(i + 1);
      this->seeds.push_back(ControlHostId({ip, kPort}));
      this->control.push_back(std::make_shared<FakeControlHost>(
          runtime, ip, i < 3 ? kOwnZone : kOtherZone));
    }
    for (const auto& host : this->control) {
      for (size_t i = 0; i < this->seeds.size(); ++i) {
        host->all.push_back(
            {.host = this->seeds[i], .zone = i < 3 ? kOwnZone : kOtherZone});
      }
    }
    this->freshness.OnVersionApplied(kVersion);
    this->follower = std::make_unique<ControlFollower>(
        runtime, ControlFollowerOptions{
                     .self = HostId("entry-1"),
                     .zone = kOwnZone,
                     .seeds = [this] { return this->seeds; },
                     .held_version = [] { return kVersion; },
                     .on_reply = [](const HostId&, const WatchReply&) {},
                     .on_agreed = [](uint64_t, const std::string&) {}});
    this->follower->Start();
    this->client = std::make_unique<FreshnessClient>(FreshnessClientOptions{
        .self = HostId("entry-1"),
        .freshness = this->freshness,
        .control_hosts = [this] { return this->follower->ResponsiveHosts(); },
        .call =
            [this](const HostId& host, std::string_view body,
                   TimePoint deadline) {
              return this->follower->Call(host, PeerMessageType::kConfirm, body,
                                          deadline);
            },
        .on_confirmation =
            [this](const HostId& host, bool is_confirmed) {
              this->follower->NoteConfirmation(host, is_confirmed);
            }});
    runtime.Spawn([this] {
      this->client->Run();
      this->is_ended = true;
    });
  }
  ~World() {
    this->client->Stop();
    while (!this->is_ended) {
      Runtime::SleepFor(1ms);
    }
    this->follower.reset();
    for (const auto& host : this->control) {
      host->Stop();
      this->runtime.KeepUntilEnd(host);
    }
  }

  // Whether a confirmation that begins after this call comes.
  bool FindsConfirmation() {
    const BootTime now = BootClock::now();
    return this->WaitFor([&] {
      const BootTime later = BootClock::now();
      const auto age = this->freshness.Age(later);
      return age && later - *age > now;
    });
  }

  bool FollowsOwnZoneOnly() const {
    return WaitFor([&] {
      const std::vector<ControlHostRecord> live = this->follower->LiveRecords();
      const std::vector<HostId> hosts = this->follower->ResponsiveHosts();
      return this->follower->followed() == 1 && hosts.size() == 1 &&
             std::ranges::find(live, ControlHostRecord{hosts[0], kOwnZone}) !=
                 live.end();
    });
  }

  static bool WaitFor(const std::function<bool()>& is_done) {
    const TimePoint give_up = Runtime::Now() + 30s;
    while (!is_done() && Runtime::Now() < give_up) {
      Runtime::SleepFor(10ms);
    }
    return is_done();
  }

  Runtime& runtime;
  std::string network;
  std::vector<HostId> seeds;
  std::vector<std::shared_ptr<FakeControlHost>> control;
  ConfigurationFreshness freshness{{.bound = 5s}};
  std::unique_ptr<ControlFollower> follower;
  std::unique_ptr<FreshnessClient> client;
  bool is_ended = false;
};

void InWorld(int network, const std::function<void(World&)>& story) {
  Runtime runtime;
  runtime.Spawn([&] {
    {
      World world(runtime, network);
      story(world);
    }
    runtime.Stop();
  });
  runtime.Run();
}

// Guards against an entry host that follows only control hosts of its zone
// which claim a full view and a quorum but are cut off from the others.
Test(confirming_host_search,
     host_outside_a_claiming_minority_is_found,
     .timeout = 120) {
  InWorld(31, [](World& world) {
    cr_assert(world.FollowsOwnZoneOnly());
    for (int i = 0; i < 3; ++i) {
      world.control[i]->stopped_at = BootClock::now();
    }
    cr_expect(world.FindsConfirmation());
    cr_expect(world.FindsConfirmation());
  });
}

// Guards against entry hosts that keep following several control hosts, or one
// of another zone, after the partition has healed.
Test(confirming_host_search,
     own_zone_suffices_again_after_a_partition,
     .timeout = 120) {
  InWorld(32, [](World& world) {
    for (int i = 0; i < 3; ++i) {
      world.control[i]->stopped_at = BootClock::now();
    }
    cr_assert(world.FindsConfirmation());
    for (int i = 0; i < 3; ++i) {
      world.control[i]->stopped_at.reset();
    }
    cr_expect(world.FollowsOwnZoneOnly());
    cr_expect(world.FindsConfirmation());
  });
}

// Guards against entry hosts that follow all control hosts at once while none
// has a quorum.
Test(confirming_host_search,
     search_without_any_quorum_is_bounded,
     .timeout = 120) {
  InWorld(33, [](World& world) {
    cr_assert(world.FollowsOwnZoneOnly());
    for (const auto& control : world.control) {
      control->stopped_at = BootClock::now();
    }
    cr_assert(World::WaitFor([&] { return world.follower->followed() > 1; }));
    for (int i = 0; i < 100; ++i) {
      cr_assert(world.follower->followed() <= 4);
      Runtime::SleepFor(20ms);
    }
  });
}

}  // namespace
}  // namespace knapweedroad
