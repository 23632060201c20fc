#include "knapweedroad/edge/quota_calls.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "knapweedroad/edge/control_follower.h"
#include "knapweedroad/edge/control_host_id.h"
#include "knapweedroad/net/peer_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/quota/quota_messages.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

const HostId kSelf("entry-1");
// Nothing listens there.
const HostId kLost("127.0.0.1:1");

// Answers watch calls as a control host that suffices for its followers, and
// grants all permits.
class StandInControlHost {
 public:
  explicit StandInControlHost(Runtime& runtime)
      : server(
            runtime,
            {.endpoint = {"127.0.0.1", 0},
             .handler = [this](PeerMessageType type, const std::string& body) {
               return this->Answer(type, body);
             }}) {
    this->id = ControlHostId({"127.0.0.1", this->server.Start().value()});
  }

  tl::expected<std::string, std::string> Answer(PeerMessageType type,
                                                const std::string& body) {
    if (type == PeerMessageType::kWatch) {
      Runtime::SleepFor(50ms);
      return EncodePacked(WatchReply{.zone = ZoneId("a"),
                                     .epoch = 1,
                                     .has_full_view = true,
                                     .has_quorum = true});
    }
    const auto call = DecodePacked<PermitCall>(body);
    if (type != PeerMessageType::kPermit || !call) {
      return tl::unexpected(std::string("not expected"));
    }
    PermitReply reply;
    for (const PermitRequest& request : call->requests) {
      reply.grants.push_back({.granted = request.count});
    }
    return EncodePacked(reply);
  }

  HostId id;
  PeerServer server;
};

// An entry host that follows one of two control hosts.
struct World {
  World() {
    this->follower = std::make_unique<ControlFollower>(
        this->runtime,
        ControlFollowerOptions{
            .self = kSelf,
            .zone = ZoneId("a"),
            .seeds =
                [this] {
                  std::vector<HostId> seeds = {this->first.id, this->second.id};
                  if (this->has_lost_seed) {
                    seeds.push_back(kLost);
                  }
                  return seeds;
                },
            .held_version = [] { return uint64_t{0}; },
            .on_reply = [](const HostId&, const WatchReply&) {},
            .on_agreed = [](uint64_t, const std::string&) {}});
    this->follower->Start();
    this->caller =
        std::make_unique<PermitCaller>(this->runtime, *this->follower, kSelf);
  }

  // Waits until it is true; false if it never is.
  static bool Until(const std::function<bool()>& is_true) {
    for (int i = 0; i < 500 && !is_true(); ++i) {
      Runtime::SleepFor(10ms);
    }
    return is_true();
  }

  uint32_t Ask(const HostId& host) {
    const auto reply = this->caller->Call(
        host, {.requests = {{.account = AccountId("acme"), .count = 2}}},
        Runtime::Now() + 1s);
    return reply && reply->grants.size() == 1 ? reply->grants[0].granted : 0;
  }

  Runtime runtime;
  StandInControlHost first{runtime};
  StandInControlHost second{runtime};
  bool has_lost_seed = false;
  std::unique_ptr<ControlFollower> follower;
  std::unique_ptr<PermitCaller> caller;
};

// Guards against an entry host that has nobody to ask again, as it follows only
// one control host.
Test(quota_calls, a_control_host_that_is_not_followed_is_called_too) {
  World world;
  cr_assert(World::Until([&] {
    return world.follower->ResponsiveHosts().size() == 1 &&
           world.follower->followed() == 1;
  }));
  const std::vector<HostId> hosts = world.caller->Hosts();
  cr_assert(hosts.size() == 2);
  cr_expect(hosts[0] == world.follower->ResponsiveHosts()[0]);
  cr_expect(world.Ask(hosts[0]) == 2);
  cr_expect(world.Ask(hosts[1]) == 2);
}

// Guards against questions to control hosts while none responds: callers would
// wait for nothing.
Test(quota_calls, nobody_is_asked_while_no_control_host_responds) {
  Runtime runtime;
  ControlFollower follower(runtime,
                           {.self = kSelf,
                            .seeds = [] { return std::vector{kLost}; },
                            .held_version = [] { return uint64_t{0}; },
                            .on_reply = [](const HostId&, const WatchReply&) {},
                            .on_agreed = [](uint64_t, const std::string&) {}});
  follower.Start();
  Runtime::SleepFor(50ms);
  cr_expect(PermitCaller(runtime, follower, kSelf).Hosts().empty());
}

// Guards against a second wait for a control host that has just failed to
// answer.
Test(quota_calls, a_control_host_that_failed_is_left_out_for_a_while) {
  World world;
  cr_assert(World::Until([&] {
    return world.follower->ResponsiveHosts().size() == 1 &&
           world.follower->followed() == 1;
  }));
  world.has_lost_seed = true;
  cr_expect(std::ranges::count(world.caller->Hosts(), kLost) == 1);
  cr_expect(world.Ask(kLost) == 0);
  cr_expect(std::ranges::count(world.caller->Hosts(), kLost) == 0);
}

}  // namespace
}  // namespace knapweedroad
