#include "knapweedroad/admission/zone_leases.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <variant>

#include "knapweedroad/admission/rendezvous.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5);
const TargetId kOnlyTarget("t");
// Work that outlives a lease, and clocks that run apart as far as they may.
const LeaseTiming kShortTiming{.length = milliseconds(200),
                               .max_work_time = milliseconds(350),
                               .clock_error_divisor = 10};
constexpr double kClockError = 0.02;

// The hosts of a zone and their witness, a network that loses, delays and cuts,
// and one target that counts what runs on it. Each host's clock runs at a rate
// of its own, inside of the bound that the leases are told.
class World {
 public:
  World(int zone_hosts, uint32_t slots, uint32_t seed, bool cold = false)
      : slots(slots), cold(cold), random(seed) {
    for (int i = 0; i < zone_hosts + 1; ++i) {
      PeerSettings peer;
      peer.name = HostId("h" + std::to_string(i));
      peer.zone = ZoneId(i < zone_hosts ? "near" : "witness");
      this->peers.push_back(peer);
    }
    this->hosts.resize(this->peers.size());
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      Host& host = this->hosts[i];
      host.rate =
          1.0 + (static_cast<int>(this->random() % 5) - 2) * kClockError;
      host.cut.resize(this->hosts.size());
      this->Start(i);
    }
    this->Run(milliseconds(1000));
  }

  void Start(std::size_t i) {
    Host& host = this->hosts[i];
    host.up = true;
    host.frozen = false;
    host.share = {};
    ++host.incarnation;
    const TimePoint now = this->Local(host);
    host.leases = std::make_unique<ZoneLeases>(
        ZoneLeases::Options{.self = this->peers[i].name,
                            .zone = this->peers[i].zone,
                            .hosts = this->peers,
                            .incarnation = host.incarnation,
                            .started = now,
                            .timing = kShortTiming,
                            .retry_interval = milliseconds(10),
                            .handover_delay = milliseconds(100)});
    if (this->peers[i].zone == ZoneId("near")) {
      const LeaseTarget target{kOnlyTarget, this->slots,
                               kShortTiming.max_work_time};
      host.leases->SetTargets({&target, 1}, now);
    }
  }

  // The process ends at once; its attempts stay on the target.
  void Crash(std::size_t i) {
    this->hosts[i].up = false;
    for (Attempt& attempt : this->attempts) {
      attempt.orphan = attempt.orphan || attempt.host == i;
    }
  }

  void CutOff(std::size_t i, bool cut) {
    for (std::size_t j = 0; j < this->hosts.size(); ++j) {
      this->hosts[i].cut[j] = cut;
      this->hosts[j].cut[i] = cut;
    }
  }

  void Run(Duration duration) {
    const Duration end = this->real + duration;
    while (this->real < end) {
      this->Step();
    }
  }

  void Step() {
    this->real += kStep;
    std::erase_if(this->attempts, [&](const Attempt& attempt) {
      return this->real >= attempt.end;
    });
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      Host& host = this->hosts[i];
      if (host.up && !host.frozen) {
        this->StepHost(i, host);
      }
    }
    cr_assert_leq(this->attempts.size(), this->cold ? 1 : this->slots);
  }

  // One fault or its end, anywhere.
  void RandomFault() {
    const std::size_t i = this->Any(this->hosts.size());
    Host& host = this->hosts[i];
    switch (this->Any(8)) {
      case 0:
        this->Crash(i);
        break;
      case 1:
      case 2:
        if (!host.up) {
          this->Start(i);
        }
        break;
      case 3:
        host.frozen = !host.frozen;
        break;
      case 4:
        host.cut[this->Any(this->hosts.size())] = true;
        break;
      case 5:
        this->CutOff(i, this->Any(2) == 0);
        break;
      case 6:
        if (host.up) {
          host.leases->Leave();
        }
        break;
      default:
        for (Host& other : this->hosts) {
          other.cut.assign(this->hosts.size(), false);
          other.frozen = false;
        }
    }
  }

  std::size_t RankHost(std::size_t rank) {
    const auto order =
        RendezvousOrder(kOnlyTarget, HostsOfZone(ZoneId("near"), this->peers));
    return static_cast<std::size_t>(order.at(rank).str().at(1) - '0');
  }
  uint32_t SlotsAt(std::size_t i) { return this->hosts[i].share.slots; }
  ZoneLeases& LeasesOf(std::size_t i) { return *this->hosts[i].leases; }
  std::size_t Any(std::size_t below) { return this->random() % below; }

  int loss_percent = 0;
  bool sure_views = true;

 private:
  struct Message {
    TimePoint at;
    std::variant<LeaseRequest, LeaseReply> content;
  };
  struct Host {
    std::unique_ptr<ZoneLeases> leases;
    bool up = false;
    bool frozen = false;
    double rate = 1.0;
    uint64_t incarnation = 0;
    TargetShare share;
    std::vector<bool> cut;
    std::vector<Message> inbox;
  };
  struct Attempt {
    std::size_t host;
    Duration end;
    bool orphan = false;
  };

  TimePoint Local(const Host& host) const {
    const auto count = static_cast<double>(this->real.count()) * host.rate;
    return TimePoint(seconds(50) + Duration(static_cast<int64_t>(count)));
  }

  std::size_t IndexOf(const HostId& id) const {
    return static_cast<std::size_t>(id.str().at(1) - '0');
  }

  uint32_t InFlight(std::size_t i) const {
    return static_cast<uint32_t>(
        std::count_if(this->attempts.begin(), this->attempts.end(),
                      [&](const auto& a) { return a.host == i && !a.orphan; }));
  }

  template <typename Content>
  void Send(std::size_t from, const HostId& to, Content content) {
    const std::size_t i = this->IndexOf(to);
    if (this->hosts[from].cut[i] ||
        static_cast<int>(this->Any(100)) < this->loss_percent) {
      return;
    }
    const bool late = this->loss_percent > 0 && this->Any(20) == 0;
    const Duration delay =
        late ? kStep * static_cast<int>(this->Any(100)) : kStep;
    this->hosts[i].inbox.push_back(
        {TimePoint(this->real + delay), std::move(content)});
  }

  void Do(std::size_t i, ZoneLeases::Actions actions) {
    for (const auto& change : actions.shares) {
      this->hosts[i].share = change.share;
    }
    for (auto& message : actions.requests) {
      this->Send(i, message.to, std::move(message.request));
    }
    for (auto& reply : actions.replies) {
      this->Send(i, reply.to, std::move(reply.reply));
    }
  }

  void Deliver(std::size_t i, Host& host, TimePoint now) {
    std::vector<Message> due;
    std::erase_if(host.inbox, [&](Message& message) {
      if (message.at.time_since_epoch() > this->real) {
        return false;
      }
      due.push_back(std::move(message));
      return true;
    });
    for (const Message& message : due) {
      if (const auto* request = std::get_if<LeaseRequest>(&message.content)) {
        this->Do(i, host.leases->OnRequest(*request, now));
      } else {
        const auto& reply = std::get<LeaseReply>(message.content);
        this->Do(i, host.leases->OnReply(reply, now));
      }
    }
  }

  // What heartbeats would show; now and then something quite wrong.
  void See(std::size_t i, Host& host, TimePoint now) {
    std::vector<HostId> eligible;
    for (std::size_t j = 0; j < this->hosts.size(); ++j) {
      const Host& other = this->hosts[j];
      const bool seen = other.up && !other.frozen && !other.cut[i] &&
                        !other.leases->gone() &&
                        other.leases->ReachesMajority(this->Local(other));
      const bool wrong = !this->sure_views && this->Any(20) == 0;
      if (seen != wrong) {
        eligible.push_back(this->peers[j].name);
      }
      if (!other.up && !host.cut[j]) {
        host.leases->OnPeerRefused(this->peers[j].name, now, now);
      }
    }
    host.leases->SetEligibleHosts(eligible, now);
  }

  void StepHost(std::size_t i, Host& host) {
    const TimePoint now = this->Local(host);
    this->Deliver(i, host, now);
    this->See(i, host, now);
    if (host.share.slots == 0 && this->InFlight(i) == 0) {
      host.leases->OnDrained(kOnlyTarget);
    }
    this->Do(i, host.leases->Tick(now));
    const bool may_send = now < host.share.valid_until &&
                          (!this->cold || host.share.cold_allowed);
    const uint32_t limit = this->cold ? 1 : host.share.slots;
    while (may_send && host.share.slots > 0 && this->InFlight(i) < limit) {
      const Duration work = milliseconds(10 + this->Any(320));
      this->attempts.push_back({i, this->real + work});
    }
  }

  uint32_t slots;
  bool cold;
  std::mt19937 random;
  Duration real{};
  std::vector<PeerSettings> peers;
  std::vector<Host> hosts;
  std::vector<Attempt> attempts;
};

void Explore(int zone_hosts, uint32_t slots, bool cold, uint32_t seeds) {
  for (uint32_t seed = 1; seed <= seeds; ++seed) {
    World world(zone_hosts, slots, seed, cold);
    world.loss_percent = static_cast<int>(seed % 4) * 10;
    world.sure_views = seed % 2 == 0;
    world.Run(milliseconds(200));
    for (int fault = 0; fault < 150; ++fault) {
      world.RandomFault();
      world.Run(milliseconds(world.Any(120)));
    }
  }
}

// Hosts crash, freeze, restart, leave and lose each other in every order, each
// with a clock of its own rate: what they may send, with what they have left
// running, never passes the slots of the target.
Test(ZoneLeases, TwoHostsNeverPassTheSlots) {
  Explore(2, 2, false, 600);
}
Test(ZoneLeases, ThreeHostsNeverPassTheSlots) {
  Explore(3, 3, false, 600);
}
Test(ZoneLeases, AColdTargetIsSentToByOneHostOnly) {
  Explore(3, 2, true, 400);
}

Test(ZoneLeases, ThePreferredHostHoldsAllSlots) {
  World world(3, 2, 1);
  world.Run(seconds(1));
  cr_assert_eq(world.SlotsAt(world.RankHost(0)), 2u);
  cr_assert_eq(world.SlotsAt(world.RankHost(1)), 0u);
}

Test(ZoneLeases, ACrashedHolderIsReplacedWithAllSlots) {
  World world(3, 2, 1);
  world.Crash(world.RankHost(0));
  world.Run(seconds(1));
  cr_assert_eq(world.SlotsAt(world.RankHost(1)), 2u);
}

// The holder is stopped: its port still takes connections, so that nobody can
// tell it from a host that is cut off and uses its part of the slots.
Test(ZoneLeases, ASilentOwnerKeepsItsPartOfTheSlots) {
  World world(3, 3, 1);
  const std::size_t owner = world.RankHost(0);
  world.CutOff(owner, true);
  world.Run(seconds(2));
  cr_assert_eq(world.SlotsAt(owner), 2u, "alone, with its own part");
  cr_assert_eq(world.SlotsAt(world.RankHost(1)), 1u);
  world.CutOff(owner, false);
  world.Run(seconds(2));
  cr_assert_eq(world.SlotsAt(owner), 3u);
}

Test(ZoneLeases, AHostThatLeavesHandsOverAndSaysGoodbye) {
  World world(3, 2, 1);
  const std::size_t owner = world.RankHost(0);
  world.LeasesOf(owner).Leave();
  world.Run(milliseconds(400));
  cr_assert(world.LeasesOf(owner).gone());
  cr_assert_eq(world.SlotsAt(world.RankHost(1)), 2u);
}

// Both hosts of a zone run, and the rest of the world is cut off. They are a
// majority of the three voters and serve on with everything.
Test(ZoneLeases, AZoneThatIsCutOffAsAWholeServesOn) {
  World world(2, 2, 1);
  world.CutOff(2, true);
  world.Run(seconds(2));
  cr_assert_eq(world.SlotsAt(world.RankHost(0)), 2u);
}

Test(ZoneLeases, TheLastHostOfAZoneThatIsCutOffKeepsItsPart) {
  World world(2, 2, 1);
  world.CutOff(2, true);
  world.Crash(world.RankHost(1));
  world.Run(seconds(2));
  cr_assert_eq(world.SlotsAt(world.RankHost(0)), 1u);
}

}  // namespace
}  // namespace knapweedroad
