#include "knapweedroad/routing/target_simulation.h"

#include <algorithm>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>

#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kServiceMs = 10;
constexpr double kNetworkMs = 1;
constexpr size_t kMaxConnections = 117;
// The time of a target that a new connection takes.
constexpr double kConnectMs = 6;

Duration Milliseconds(double ms) {
  return Duration(static_cast<int64_t>(ms * 1e6));
}

class Simulation {
 public:
  explicit Simulation(const SimulatedLoad& load)
      : load(load), random(load.seed) {
    this->result.sent_by_target.resize(load.targets);
    this->in_system.resize(load.targets);
    this->last_used.assign(load.hosts, std::vector<TimePoint>(load.targets));
    this->slots_free_at.assign(
        load.targets,
        std::vector<TimePoint>(kSimulatedSlots, kSimulationStart));
    RoutingConfig config{.version = 1,
                         .services = {{.name = kSimulatedService,
                                       .max_connections = kMaxConnections}}};
    const auto routing = std::make_shared<RouteTable>(config);
    std::vector<HostId> hosts;
    for (size_t host = 0; host < load.hosts; ++host) {
      hosts.emplace_back("e" + std::to_string(host));
    }
    for (size_t host = 0; host < load.hosts; ++host) {
      this->balancers.push_back(
          std::make_unique<LoadBalancer>(LoadBalancerOptions{
              .self = hosts[host],
              .zone = ZoneId("a"),
              .seed = load.seed * 1000 + host + 1,
              .has_idle_connection = [this, host](const TargetId& id) {
                return this->IsConnected(host, Index(id));
              }}));
      this->balancers.back()->SetRouting(routing);
      this->balancers.back()->SetEntryHosts(hosts,
                                            kSimulationStart - seconds(60));
      for (size_t target = 0; target < load.targets; ++target) {
        this->balancers.back()->UpdateTarget(SimulatedRecord(target),
                                             kSimulationStart);
      }
    }
  }

  SimulationResult Run() {
    this->ScheduleArrival();
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
    std::ranges::sort(this->latencies_ms);
    double sum = 0;
    for (const double latency_ms : this->latencies_ms) {
      sum += latency_ms;
    }
    this->result.answered = this->latencies_ms.size();
    this->result.mean_ms = sum / static_cast<double>(this->result.answered);
    this->result.p95_ms =
        this->latencies_ms[this->latencies_ms.size() * 95 / 100];
    return this->result;
  }

 private:
  struct Event {
    TimePoint at;
    std::function<void()> action;
    bool operator<(const Event& other) const { return this->at > other.at; }
  };

  void ScheduleArrival() {
    std::exponential_distribution<double> gap_seconds(
        this->load.rate_per_host * static_cast<double>(this->load.hosts));
    const TimePoint at =
        this->now + Milliseconds(gap_seconds(this->random) * 1e3);
    if (at - kSimulationStart < this->load.duration) {
      this->events.push({at, [this] {
                           std::uniform_int_distribution<size_t> pick_host(
                               0, this->load.hosts - 1);
                           this->Send(pick_host(this->random), this->now);
                           this->ScheduleArrival();
                         }});
    }
  }

  static size_t Index(const TargetId& id) {
    return std::stoul(id.str().substr(1));
  }

  bool IsConnected(size_t host, size_t target) const {
    const TimePoint used = this->last_used[host][target];
    return used != TimePoint() && (this->load.keep_alive == Duration::zero() ||
                                   this->now - used < this->load.keep_alive);
  }

  // Sends a request that arrived at `arrived_at`. It waits on its host while no
  // target can take it.
  void Send(size_t host, TimePoint arrived_at) {
    LoadBalancer& balancer = *this->balancers[host];
    const auto picked = balancer.Pick(kSimulatedService, {}, this->now);
    if (!picked) {
      this->events.push({this->now + milliseconds(2), [this, host, arrived_at] {
                           this->Send(host, arrived_at);
                         }});
      return;
    }
    const size_t target = Index(*picked);
    const bool is_connected = this->IsConnected(host, target);
    this->result.new_connections += is_connected ? 0 : 1;
    this->last_used[host][target] = this->now;
    balancer.OnSent(*picked, this->now);
    ++this->result.sent;
    ++this->result.sent_by_target[target];
    this->result.sent_to_slow +=
        this->load.slowness(target, this->now - kSimulationStart) > 1.5 ? 1 : 0;
    size_t& in_system = this->in_system[target];
    this->result.longest_queue =
        std::max(this->result.longest_queue, ++in_system);
    std::lognormal_distribution<double> variation(0, 0.3);
    const auto slot = std::ranges::min_element(this->slots_free_at[target]);
    const TimePoint begin =
        std::max(*slot, this->now + Milliseconds(kNetworkMs)) +
        Milliseconds(is_connected ? 0 : kConnectMs);
    *slot = begin +
            Milliseconds(kServiceMs * variation(this->random) *
                         this->load.slowness(target, begin - kSimulationStart));
    this->events.push(
        {*slot + Milliseconds(kNetworkMs),
         [this, &balancer, target, arrived_at, sent_at = this->now] {
           this->Answer(balancer, target, arrived_at, sent_at);
         }});
  }

  void Answer(LoadBalancer& balancer,
              size_t target,
              TimePoint arrived_at,
              TimePoint sent_at) {
    const auto in_system = static_cast<uint32_t>(--this->in_system[target]);
    const Duration at = this->now - kSimulationStart;
    const uint32_t running = std::min<uint32_t>(in_system, kSimulatedSlots);
    TargetLoad report{.running = running,
                      .waiting = in_system - running,
                      .slots = kSimulatedSlots};
    if (this->load.reports_service_time) {
      report.service_time_percent =
          this->load.reported
              ? this->load.reported(target, at)
              : static_cast<uint32_t>(100 * this->load.slowness(target, at));
    }
    balancer.OnAnswered(SimulatedRecord(target).id, this->now - sent_at, report,
                        this->now);
    this->latencies_ms.push_back(
        std::chrono::duration<double, std::milli>(this->now - arrived_at)
            .count());
  }

  SimulatedLoad load;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<LoadBalancer>> balancers;
  std::vector<size_t> in_system;
  // By host and target.
  std::vector<std::vector<TimePoint>> last_used;
  std::vector<std::vector<TimePoint>> slots_free_at;
  std::vector<double> latencies_ms;
  std::priority_queue<Event> events;
  TimePoint now = kSimulationStart;
  SimulationResult result;
};

}  // namespace

TargetRecord SimulatedRecord(size_t index) {
  return {.id = TargetId("t" + std::to_string(index)),
          .service = kSimulatedService,
          .zone = ZoneId("a"),
          .address = {"10.0.0.1", static_cast<uint16_t>(80 + index)},
          .slots = kSimulatedSlots,
          .started_ms = 1000,
          .sequence = 1};
}

SimulationResult RunTargetSimulation(const SimulatedLoad& load) {
  return Simulation(load).Run();
}

}  // namespace knapweedroad
