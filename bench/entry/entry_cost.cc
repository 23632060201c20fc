// What one gathered question costs an entry host: processor time, allocations
// and bytes allocated for each sub-request, by how many shards it asks.
//
//   entry_cost [--targets=N] [SHARDS...]
//
// Each shard has N targets, three by default.
//
// The real caller server, request, target table and links run in this thread
// against stand-ins in another one. System calls are counted from outside:
//
//   strace -f -c entry_cost 42

#include <time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bench/entry/allocation_count.h"
#include "bench/entry/stand_in_world.h"
#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/admit_request.h"
#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/caller_server.h"
#include "knapweedroad/edge/entry_metrics.h"
#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/gather_links.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/loss_sharing.h"
#include "knapweedroad/edge/request_admission.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/query_of_death_detector.h"
#include "knapweedroad/routing/relay_choice.h"
#include "knapweedroad/routing/route_table.h"
#include "knapweedroad/routing/weighted_round_robin.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr size_t kDefaultTargetsPerShard = 3;
constexpr size_t kWarmUpQuestions = 50;
// So that each size sends about as many sub-requests.
constexpr size_t kSubRequests = 40'000;

double ThreadMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

TargetLoadReport ParseLoad(std::string_view) {
  return {.load = TargetLoad{.running = 1, .waiting = 0, .slots = 3}};
}

HeaderNames MakeHeaderNames() {
  HeaderNames header_names;
  header_names.parse_load = ParseLoad;
  header_names.parse_cold_left = [](std::string_view) { return std::nullopt; };
  return header_names;
}

ServiceId ShardName(size_t shard) {
  return ServiceId("shard" + std::to_string(shard));
}

std::shared_ptr<const RouteTable> MakeTable(size_t shards) {
  RouteConfig route{.name = "all",
                    .host_name = "a.example",
                    .path_prefix = "/all/",
                    .idempotent = true,
                    .timeout = milliseconds(1500),
                    .latency_target = milliseconds(1500),
                    .is_scatter = true,
                    .max_attempts = 2,
                    .top_records = 10,
                    .min_share = 0.95};
  RoutingConfig config{.version = 1};
  for (size_t i = 0; i < shards; ++i) {
    route.services.push_back({.service = ShardName(i)});
    config.services.push_back(
        {.name = ShardName(i), .max_connections = 100'000});
  }
  config.routes.push_back(std::move(route));
  return std::make_shared<RouteTable>(std::move(config));
}

// An entry host without its control part.
class Entry {
 public:
  Entry(Runtime& runtime,
        size_t shards,
        size_t targets_per_shard,
        uint16_t target_port)
      : balancer({.self = HostId("host"), .zone = ZoneId("a")}),
        links(runtime,
              {.header_names = this->header_names,
               .on_idle_closed = [](const TargetId&) {}}),
        gather_links(runtime, this->relays),
        loss_sharing(runtime, {.detector = this->detector}),
        parts{.runtime = runtime,
              .header_names = this->header_names,
              .balancer = this->balancer,
              .links = this->links,
              .metrics = this->metrics,
              .admission = this->admission,
              .rotation = this->rotation,
              .started = Runtime::Now(),
              .shedding = ShardShedding({.seed = 1}),
              .sampler = AnswerSampler({.host = HostId("host"), .epoch = 1}),
              .relays = this->relays,
              .gather_links = this->gather_links,
              .detector = this->detector,
              .loss_sharing = this->loss_sharing,
              .table = MakeTable(shards)},
        callers(runtime,
                {.endpoint = {"127.0.0.1", 0},
                 .header_names = this->header_names,
                 .on_request =
                     [this](CallerRequest request,
                            const std::shared_ptr<CallerExchange>& exchange) {
                       AdmitCallerRequest(this->parts, std::move(request),
                                          exchange);
                     },
                 .limits = [] { return CallerLimits(); }}) {
    this->balancer.SetRouting(this->parts.table);
    for (size_t i = 0; i < shards * targets_per_shard; ++i) {
      this->balancer.UpdateTarget(
          {.id = TargetId("i-" + std::to_string(1'000'000 + i)),
           .service = ShardName(i / targets_per_shard),
           .zone = ZoneId(i % 3 == 0 ? "a" : "b"),
           .address = {"127.0.0.1", target_port},
           .slots = 3,
           .started_ms = 1,
           .sequence = 1},
          Runtime::Now());
    }
  }

  uint16_t Start() { return this->callers.Start().value(); }
  size_t opened() const { return this->links.opened(); }

 private:
  HeaderNames header_names = MakeHeaderNames();
  LoadBalancer balancer;
  TargetLinks links;
  RelayChoice relays{{}};
  GatherLinks gather_links;
  QueryOfDeathDetector detector{{}};
  LossSharing loss_sharing;
  EntryMetrics metrics;
  RequestAdmission admission{{}};
  WeightedRoundRobin rotation;
  EntryParts parts;
  CallerServer callers;
};

void AskAll(Runtime& runtime,
            StandInWorld& world,
            uint16_t port,
            size_t questions) {
  bool is_done = false;
  world.Ask({.port = port, .questions = questions, .on_done = [&] {
               runtime.Post([&] { is_done = true; });
             }});
  while (!is_done) {
    Runtime::SleepFor(milliseconds(20));
  }
}

void Measure(Runtime& runtime, size_t shards, size_t targets_per_shard) {
  StandInWorld world;
  Entry entry(runtime, shards, targets_per_shard, world.StartTargets());
  const uint16_t port = entry.Start();
  AskAll(runtime, world, port, kWarmUpQuestions);
  const size_t questions = std::max<size_t>(kSubRequests / shards, 10);
  const size_t opened = entry.opened();
  const AllocationCount before = CountAllocations();
  const double start = ThreadMicroseconds();
  AskAll(runtime, world, port, questions);
  const double took = ThreadMicroseconds() - start;
  const AllocationCount after = CountAllocations();
  const auto subs = static_cast<double>(questions * shards);
  std::printf("%6zu %12.1f %12.2f %14.1f %14.0f %10zu\n", shards,
              took / static_cast<double>(questions), took / subs,
              static_cast<double>(after.calls - before.calls) / subs,
              static_cast<double>(after.bytes - before.bytes) / subs,
              entry.opened() - opened);
}

}  // namespace
}  // namespace knapweedroad

int main(int argc, char** argv) {
  using namespace knapweedroad;
  constexpr std::string_view kTargetsFlag = "--targets=";
  size_t targets_per_shard = kDefaultTargetsPerShard;
  std::vector<size_t> sizes;
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (argument.starts_with(kTargetsFlag)) {
      targets_per_shard =
          std::strtoul(argv[i] + kTargetsFlag.size(), nullptr, 10);
    } else {
      sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    }
  }
  if (sizes.empty()) {
    sizes = {10, 42, 63, 200, 1500};
  }
  LogLine::SetSink([](std::string_view) {});
  Runtime runtime;
  std::printf("%6s %12s %12s %14s %14s %10s\n", "shards", "us/question",
              "us/sub", "allocs/sub", "bytes/sub", "opened");
  for (const size_t shards : sizes) {
    Measure(runtime, shards, targets_per_shard);
  }
  std::fflush(stdout);
  std::_Exit(0);
}
