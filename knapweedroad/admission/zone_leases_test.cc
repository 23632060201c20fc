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
// Attempts may run longer than a lease. The clocks of two hosts drift apart by
// no more than the divisor allows.
const LeaseTiming kShortTiming{.length = milliseconds(200),
                               .max_work_time = milliseconds(350),
                               .clock_drift_divisor = 10};
constexpr double kClockDrift = 0.02;

// Simulates the hosts of a zone and their witness, a network that loses and
// delays messages and separates hosts, and one target. Asserts in each step
// that no more attempts run on the target than it may have. Each host's clock
// runs at its own rate, within the drift that the leases allow for.
class Simulation {
 public:
  Simulation(int zone_hosts, uint32_t slots, uint32_t seed, bool cold = false)
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
      host.clock_rate =
          1.0 + (static_cast<int>(this->random() % 5) - 2) * kClockDrift;
      host.disconnected.resize(this->hosts.size());
      this->Start(i);
    }
    this->Run(milliseconds(1000));
  }

  void Start(std::size_t i) {
    Host& host = this->hosts[i];
    host.up = true;
    host.paused = false;
    host.share = {};
    ++host.incarnation;
    const TimePoint now = this->LocalTime(host);
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

  // Ends the process at once; its attempts continue to run on the target.
  void Crash(std::size_t i) {
    this->hosts[i].up = false;
    for (Attempt& attempt : this->attempts) {
      attempt.host_crashed = attempt.host_crashed || attempt.host == i;
    }
  }

  void SetDisconnected(std::size_t i, bool disconnected) {
    for (std::size_t j = 0; j < this->hosts.size(); ++j) {
      this->hosts[i].disconnected[j] = disconnected;
      this->hosts[j].disconnected[i] = disconnected;
    }
  }

  void Run(Duration duration) {
    const Duration end = this->true_time + duration;
    while (this->true_time < end) {
      this->Step();
    }
  }

  void Step() {
    this->true_time += kStep;
    std::erase_if(this->attempts, [&](const Attempt& attempt) {
      return this->true_time >= attempt.end;
    });
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      Host& host = this->hosts[i];
      if (host.up && !host.paused) {
        this->StepHost(i, host);
      }
    }
    cr_assert_leq(this->attempts.size(), this->cold ? 1 : this->slots);
  }

  // Starts or ends a random fault at a random host.
  void InjectRandomFault() {
    const std::size_t i = this->RandomBelow(this->hosts.size());
    Host& host = this->hosts[i];
    switch (this->RandomBelow(8)) {
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
        host.paused = !host.paused;
        break;
      case 4:
        host.disconnected[this->RandomBelow(this->hosts.size())] = true;
        break;
      case 5:
        this->SetDisconnected(i, this->RandomBelow(2) == 0);
        break;
      case 6:
        if (host.up) {
          host.leases->Leave();
        }
        break;
      default:
        for (Host& other : this->hosts) {
          other.disconnected.assign(this->hosts.size(), false);
          other.paused = false;
        }
    }
  }

  std::size_t HostOfRank(std::size_t rank) {
    const auto order =
        RendezvousOrder(kOnlyTarget, HostsOfZone(ZoneId("near"), this->peers));
    return static_cast<std::size_t>(order.at(rank).str().at(1) - '0');
  }
  uint32_t SlotsAt(std::size_t i) { return this->hosts[i].share.slots; }
  ZoneLeases& LeasesOf(std::size_t i) { return *this->hosts[i].leases; }
  std::size_t RandomBelow(std::size_t bound) { return this->random() % bound; }

  int loss_percent = 0;
  bool accurate_views = true;

 private:
  struct Message {
    TimePoint deliver_at;
    std::variant<LeaseRequest, LeaseReply> content;
  };
  struct Host {
    std::unique_ptr<ZoneLeases> leases;
    bool up = false;
    bool paused = false;
    double clock_rate = 1.0;
    uint64_t incarnation = 0;
    TargetShare share;
    std::vector<bool> disconnected;
    std::vector<Message> inbox;
  };
  struct Attempt {
    std::size_t host;
    Duration end;
    bool host_crashed = false;
  };

  TimePoint LocalTime(const Host& host) const {
    const auto count =
        static_cast<double>(this->true_time.count()) * host.clock_rate;
    return TimePoint(seconds(50) + Duration(static_cast<int64_t>(count)));
  }

  std::size_t IndexOf(const HostId& id) const {
    return static_cast<std::size_t>(id.str().at(1) - '0');
  }

  uint32_t InFlight(std::size_t i) const {
    return static_cast<uint32_t>(std::count_if(
        this->attempts.begin(), this->attempts.end(),
        [&](const auto& a) { return a.host == i && !a.host_crashed; }));
  }

  template <typename Content>
  void Send(std::size_t from, const HostId& to, Content content) {
    const std::size_t i = this->IndexOf(to);
    if (this->hosts[from].disconnected[i] ||
        static_cast<int>(this->RandomBelow(100)) < this->loss_percent) {
      return;
    }
    const bool delayed = this->loss_percent > 0 && this->RandomBelow(20) == 0;
    const Duration delay =
        delayed ? kStep * static_cast<int>(this->RandomBelow(100)) : kStep;
    this->hosts[i].inbox.push_back(
        {TimePoint(this->true_time + delay), std::move(content)});
  }

  void Execute(std::size_t i, ZoneLeases::Actions actions) {
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
      if (message.deliver_at.time_since_epoch() > this->true_time) {
        return false;
      }
      due.push_back(std::move(message));
      return true;
    });
    for (const Message& message : due) {
      if (const auto* request = std::get_if<LeaseRequest>(&message.content)) {
        this->Execute(i, host.leases->OnRequest(*request, now));
      } else {
        const auto& reply = std::get<LeaseReply>(message.content);
        this->Execute(i, host.leases->OnReply(reply, now));
      }
    }
  }

  // Sets the hosts that heartbeats would show as eligible, and reports refused
  // connections to hosts that aren't running. Without `accurate_views`, some of
  // the eligible hosts are wrong.
  void UpdateView(std::size_t i, Host& host, TimePoint now) {
    std::vector<HostId> eligible;
    for (std::size_t j = 0; j < this->hosts.size(); ++j) {
      const Host& other = this->hosts[j];
      const bool reachable =
          other.up && !other.paused && !other.disconnected[i] &&
          !other.leases->has_left() &&
          other.leases->ReachesMajority(this->LocalTime(other));
      const bool inverted = !this->accurate_views && this->RandomBelow(20) == 0;
      if (reachable != inverted) {
        eligible.push_back(this->peers[j].name);
      }
      if (!other.up && !host.disconnected[j]) {
        host.leases->OnConnectionRefused(this->peers[j].name, now, now);
      }
    }
    host.leases->SetEligibleHosts(eligible, now);
  }

  void StepHost(std::size_t i, Host& host) {
    const TimePoint now = this->LocalTime(host);
    this->Deliver(i, host, now);
    this->UpdateView(i, host, now);
    if (host.share.slots == 0 && this->InFlight(i) == 0) {
      host.leases->OnDrained(kOnlyTarget);
    }
    this->Execute(i, host.leases->Tick(now));
    const bool may_send = now < host.share.valid_until &&
                          (!this->cold || host.share.cold_allowed);
    const uint32_t limit = this->cold ? 1 : host.share.slots;
    while (may_send && host.share.slots > 0 && this->InFlight(i) < limit) {
      const Duration work = milliseconds(10 + this->RandomBelow(320));
      this->attempts.push_back({i, this->true_time + work});
    }
  }

  uint32_t slots;
  bool cold;
  std::mt19937 random;
  Duration true_time{};
  std::vector<PeerSettings> peers;
  std::vector<Host> hosts;
  std::vector<Attempt> attempts;
};

void RunRandomFaults(int zone_hosts,
                     uint32_t slots,
                     bool cold,
                     uint32_t seeds) {
  for (uint32_t seed = 1; seed <= seeds; ++seed) {
    Simulation simulation(zone_hosts, slots, seed, cold);
    simulation.loss_percent = static_cast<int>(seed % 4) * 10;
    simulation.accurate_views = seed % 2 == 0;
    simulation.Run(milliseconds(200));
    for (int fault = 0; fault < 150; ++fault) {
      simulation.InjectRandomFault();
      simulation.Run(milliseconds(simulation.RandomBelow(120)));
    }
  }
}

// Hosts crash, pause, restart, leave and lose contact in random order, each
// with its own clock rate. The attempts that they send, together with those
// that still run from before, must never exceed the slots of the target.
Test(ZoneLeases, TwoHostsNeverExceedSlots) {
  RunRandomFaults(2, 2, false, 600);
}
Test(ZoneLeases, ThreeHostsNeverExceedSlots) {
  RunRandomFaults(3, 3, false, 600);
}
Test(ZoneLeases, OnlyOneHostSendsToColdTarget) {
  RunRandomFaults(3, 2, true, 400);
}

Test(ZoneLeases, PreferredHostHoldsAllSlots) {
  Simulation simulation(3, 2, 1);
  simulation.Run(seconds(1));
  cr_assert_eq(simulation.SlotsAt(simulation.HostOfRank(0)), 2u);
  cr_assert_eq(simulation.SlotsAt(simulation.HostOfRank(1)), 0u);
}

Test(ZoneLeases, NextHostHoldsAllSlotsAfterCrash) {
  Simulation simulation(3, 2, 1);
  simulation.Crash(simulation.HostOfRank(0));
  simulation.Run(seconds(1));
  cr_assert_eq(simulation.SlotsAt(simulation.HostOfRank(1)), 2u);
}

// The holder becomes unreachable, but no connection to it is refused. It may be
// isolated and use its part of the slots, so that no other host may use them.
Test(ZoneLeases, UnreachableOwnerKeepsItsPart) {
  Simulation simulation(3, 3, 1);
  const std::size_t preferred = simulation.HostOfRank(0);
  simulation.SetDisconnected(preferred, true);
  simulation.Run(seconds(2));
  cr_assert_eq(simulation.SlotsAt(preferred), 2u,
               "isolated, with its own part");
  cr_assert_eq(simulation.SlotsAt(simulation.HostOfRank(1)), 1u);
  simulation.SetDisconnected(preferred, false);
  simulation.Run(seconds(2));
  cr_assert_eq(simulation.SlotsAt(preferred), 3u);
}

Test(ZoneLeases, LeavingHostHandsOverAllSlots) {
  Simulation simulation(3, 2, 1);
  const std::size_t preferred = simulation.HostOfRank(0);
  simulation.LeasesOf(preferred).Leave();
  simulation.Run(milliseconds(400));
  cr_assert(simulation.LeasesOf(preferred).has_left());
  cr_assert_eq(simulation.SlotsAt(simulation.HostOfRank(1)), 2u);
}

// Both hosts of a zone run but have lost contact with the witness. They are a
// majority of the three voters and keep all slots.
Test(ZoneLeases, ZoneWithoutWitnessKeepsAllSlots) {
  Simulation simulation(2, 2, 1);
  simulation.SetDisconnected(2, true);
  simulation.Run(seconds(2));
  cr_assert_eq(simulation.SlotsAt(simulation.HostOfRank(0)), 2u);
}

Test(ZoneLeases, LastHostWithoutWitnessKeepsItsPart) {
  Simulation simulation(2, 2, 1);
  simulation.SetDisconnected(2, true);
  simulation.Crash(simulation.HostOfRank(1));
  simulation.Run(seconds(2));
  cr_assert_eq(simulation.SlotsAt(simulation.HostOfRank(0)), 1u);
}

}  // namespace
}  // namespace knapweedroad
