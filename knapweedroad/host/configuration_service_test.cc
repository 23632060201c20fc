#include "knapweedroad/host/configuration_service.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/host/configuration_keeper.h"
#include "knapweedroad/host/configuration_test_text.h"
#include "knapweedroad/wire/codec.h"
#include "knapweedroad/wire/configuration_push.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

HostId Self() {
  return HostId("leuven-1");
}
HostId Neighbour() {
  return HostId("leuven-2");
}
HostId Far() {
  return HostId("mechelen-1");
}

std::vector<PeerSettings> Hosts() {
  return {{.name = Self(), .zone = ZoneId("leuven")},
          {.name = Far(), .zone = ZoneId("mechelen")},
          {.name = Neighbour(), .zone = ZoneId("leuven")}};
}

// One host's service; the other hosts are just keepers that may be out of
// reach. Spawned tasks wait until Run().
struct World {
  World() {
    ConfigurationServiceOptions options{
        .self = Self(),
        .zone = ZoneId("leuven"),
        .hosts = Hosts(),
        .keeper = this->keeper,
        .call = [this](const HostId& host, PeerMessageType,
                       std::string_view body,
                       TimePoint) { return this->Call(host, body); },
        .spawn =
            [this](std::function<void()> task) {
              this->tasks.push_back(std::move(task));
            },
        .read =
            [this](TimePoint deadline) {
              this->now = this->agreed ? this->now : deadline;
              return this->agreed;
            },
        .replicas =
            [] {
              return std::vector<HostId>{Neighbour(), Far(),
                                         HostId("brussel-1")};
            },
        .now = [this] { return this->now; },
        .pause =
            [this](Duration time) {
              this->now += time;
              this->Run();
            }};
    this->service = std::make_unique<ConfigurationService>(std::move(options));
  }

  tl::expected<std::string, NetError> Call(const HostId& host,
                                           std::string_view body) {
    this->asked.push_back(host);
    if (this->on_call) {
      this->on_call();
    }
    const auto found = this->others.find(host);
    if (found == this->others.end()) {
      return tl::unexpected(NetError{.kind = NetErrorKind::kTimeout});
    }
    const auto pull = DecodeBytes<ConfigurationPull>(body);
    return EncodeBytes(found->second.PushFrom(pull->have_version));
  }

  // The host has these versions, the last one in force, and says so.
  void Give(const HostId& host, const std::vector<uint64_t>& versions) {
    for (const uint64_t version : versions) {
      const auto text = DeploymentText(static_cast<int>(version));
      cr_assert(this->others[host].Offer(version, text, this->now).has_value());
    }
  }

  void Hear(const HostId& host, uint64_t version) {
    this->service->OnPeerVersion(host, version);
  }

  void Run() {
    while (!this->tasks.empty()) {
      const auto task = std::move(this->tasks.front());
      this->tasks.pop_front();
      task();
    }
  }

  TimePoint now{100s};
  ConfigurationKeeper keeper;
  std::map<HostId, ConfigurationKeeper> others;
  std::optional<AgreedConfiguration> agreed;
  std::deque<std::function<void()>> tasks;
  std::vector<HostId> asked;
  std::function<void()> on_call;
  std::unique_ptr<ConfigurationService> service;
};

Test(ConfigurationService, PullsWhatAHeartbeatSpeaksOf) {
  World world;
  world.Give(Far(), {1, 2});
  world.Hear(Far(), 2);
  world.Run();
  cr_expect_eq(world.keeper.version(), 2);
  cr_expect(world.service->Age().source == ConfigurationSource::kPeer);
}

Test(ConfigurationService, OnePullForManyHeartbeats) {
  World world;
  world.Give(Far(), {2});
  world.Give(Neighbour(), {2});
  for (int i = 0; i < 5; ++i) {
    world.Hear(Far(), 2);
    world.Hear(Neighbour(), 2);
  }
  cr_expect_eq(world.tasks.size(), 1);
  world.Run();
  cr_expect_eq(world.asked.size(), 1);
  cr_expect(world.asked[0] == Neighbour(),
            "the own zone's host is asked first");
}

Test(ConfigurationService, PullThatFailsGoesOnAtAnotherPeer) {
  // The neighbour dies after it has spoken of version 2; the host must not
  // wait for it while another one has the version too.
  World world;
  world.Give(Far(), {2});
  world.Hear(Neighbour(), 2);
  world.Hear(Far(), 2);
  world.Run();
  cr_expect_eq(world.asked.size(), 2);
  cr_expect_eq(world.keeper.version(), 2);
}

Test(ConfigurationService, FailedRoundIsRepeatedAfterAPause) {
  World world;
  world.Hear(Far(), 2);
  world.Run();
  world.Hear(Far(), 2);
  cr_expect(world.tasks.empty());
  world.Give(Far(), {2});
  world.now += 200ms;
  world.Hear(Far(), 2);
  world.Run();
  cr_expect_eq(world.keeper.version(), 2);
}

Test(ConfigurationService, OlderVersionOfAPeerChangesNothing) {
  // A host that was cut off comes back with version 1 and tells everyone.
  World world;
  world.service->OnControlValue(3, DeploymentText(3));
  world.Give(Far(), {1});
  world.Hear(Far(), 1);
  cr_expect(world.tasks.empty());
  cr_expect_eq(world.keeper.version(), 3);
}

Test(ConfigurationService, LateValueOfControlChangesNothing) {
  // A peer had version 3 sooner than this host's replica learned version 2.
  World world;
  world.Give(Far(), {3});
  world.Hear(Far(), 3);
  world.Run();
  world.service->OnControlValue(2, DeploymentText(2));
  cr_expect_eq(world.keeper.version(), 3);
  cr_expect(world.service->Age().source == ConfigurationSource::kPeer);
}

Test(ConfigurationService, PeerThatPromisedMoreThanItGivesChangesNothing) {
  // A peer speaks of version 9, restarts, and hands out version 1.
  World world;
  world.service->OnControlValue(3, DeploymentText(3));
  world.Give(Far(), {1});
  world.Hear(Far(), 9);
  world.Run();
  cr_expect_eq(world.keeper.version(), 3);
  cr_expect_eq(world.service->Age().newest_heard, 9);
}

Test(ConfigurationService, NewerVersionThatComesDuringAPullStays) {
  // While version 2 is waited for, control says that version 3 is chosen.
  World world;
  world.Give(Far(), {2});
  world.on_call = [&] { world.service->OnControlValue(3, DeploymentText(3)); };
  world.Hear(Far(), 2);
  world.Run();
  cr_expect_eq(world.keeper.version(), 3);
  cr_expect(world.service->Age().source == ConfigurationSource::kAgreed);
}

Test(ConfigurationService, DifferenceThatDoesNotFitIsReplacedByTheWhole) {
  // This host has another text under version 1 than the peer. The difference
  // to version 2 is refused; the host must still come to version 2.
  World world;
  std::string text = DeploymentText(1);
  text.replace(text.find("be-centre"), 9, "be-margin");
  world.service->OnControlValue(1, text);
  world.Give(Far(), {1, 2});
  world.Hear(Far(), 2);
  world.Run();
  cr_expect_eq(world.asked.size(), 2);
  cr_expect_eq(world.keeper.version(), 2);
  cr_expect(world.keeper.text() == world.others[Far()].text());
}

Test(ConfigurationService, FirstVersionReplacesTheInitialConfiguration) {
  World world;
  cr_assert(world.service->SetInitial(DeploymentText(7)).has_value());
  world.service->CatchUp();
  cr_expect(world.service->Age().source == ConfigurationSource::kInitial);
  world.service->OnControlValue(1, DeploymentText(1));
  cr_expect_eq(world.keeper.current()->fronts[0].tenants[0].weight, 1);
}

Test(ConfigurationService, StartAsksControlFirst) {
  World world;
  cr_assert(world.service->SetInitial(DeploymentText(7)).has_value());
  world.agreed = AgreedConfiguration{.version = 4, .text = DeploymentText(4)};
  const ConfigurationAge age = world.service->CatchUp();
  cr_expect_eq(age.version, 4);
  cr_expect(age.source == ConfigurationSource::kAgreed);
  cr_expect(world.asked.empty());
}

Test(ConfigurationService, StartNeverServesWithTheInitialOneBeforeAnAgreedOne) {
  // Operators took a zone out; the host is killed and starts again. Its own
  // file has the zone in: in force for a moment, it sends work there.
  World world;
  cr_assert(world.service->SetInitial(DeploymentText(7)).has_value());
  std::vector<uint32_t> weights;
  world.keeper.OnChange([&](const DeploymentConfig& configuration) {
    weights.push_back(configuration.fronts[0].tenants[0].weight);
  });
  world.agreed = AgreedConfiguration{.version = 4, .text = DeploymentText(4)};
  world.service->CatchUp();
  cr_expect(weights == std::vector<uint32_t>{4});
}

Test(ConfigurationService, StartInACutOffZoneTakesTheNeighboursVersion) {
  // A zone is cut off and one of its hosts restarts. Served with its initial
  // file, the host would undo what had been accepted.
  World world;
  cr_assert(world.service->SetInitial(DeploymentText(7)).has_value());
  world.Give(Neighbour(), {4});
  const ConfigurationAge age = world.service->CatchUp();
  cr_expect_eq(age.version, 4);
  cr_expect(age.source == ConfigurationSource::kPeer);
  cr_expect_not(age.out_of_touch_for.has_value());
}

Test(ConfigurationService, StartAloneEndsWithTheInitialOneAndSaysSo) {
  World world;
  cr_assert(world.service->SetInitial(DeploymentText(7)).has_value());
  const TimePoint start = world.now;
  const ConfigurationAge age = world.service->CatchUp();
  cr_expect_eq(age.version, 0);
  cr_expect(age.source == ConfigurationSource::kInitial);
  cr_expect_not(age.out_of_touch_for.has_value());
  cr_expect_leq((world.now - start).count(), Duration(3s).count());
}

Test(ConfigurationService, BadInitialConfigurationIsRefused) {
  World world;
  cr_expect_not(world.service->SetInitial("{}").has_value());
  cr_expect(world.service->Age().source == ConfigurationSource::kNone);
}

Test(ConfigurationService, CutOffHostKnowsForHowLong) {
  // Two of three replicas were heard, then the cut: one of them at once, the
  // other a little later. From the first loss on a newer version may exist.
  World world;
  world.Hear(Neighbour(), 0);
  world.Hear(Far(), 0);
  world.now += 10s;
  world.Hear(Neighbour(), 0);
  world.now += 50s;
  const ConfigurationAge age = world.service->Age();
  cr_assert(age.out_of_touch_for.has_value());
  cr_expect_eq(age.out_of_touch_for->count(), Duration(60s).count());
}

Test(ConfigurationService, ConfirmFindsAVersionThatNobodyTold) {
  // A change is chosen, and the host that knew it dies before it told any
  // other. Without a read nobody would put it into force.
  World world;
  world.service->OnControlValue(1, DeploymentText(1));
  world.agreed = AgreedConfiguration{.version = 2, .text = DeploymentText(2)};
  world.service->Confirm();
  cr_expect_eq(world.keeper.version(), 2);
}

Test(ConfigurationService, AnswersPulls) {
  World world;
  world.service->OnControlValue(1, DeploymentText(1));
  world.service->OnControlValue(2, DeploymentText(2));
  const auto bytes = world.service->AnswerPull(
      EncodeBytes(ConfigurationPull{.have_version = 1}));
  cr_assert(bytes.has_value());
  const auto push = DecodeBytes<ConfigurationPush>(*bytes);
  cr_expect_eq(push->base_version, 1);
  cr_expect_not(world.service->AnswerPull("x").has_value());
}

}  // namespace
}  // namespace knapweedroad
