// What the decisions of one query cost: the processor time of a QueryRun from
// its start to its answer, without any I/O.
//
//   query_cost_bench --services=10 --queries=20000

#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "knapweedroad/query/front_state.h"
#include "knapweedroad/query/query_run.h"

DEFINE_uint32(services, 10, "services of the front");
DEFINE_uint32(queries, 20000, "queries");

namespace {

using namespace knapweedroad;  // NOLINT
using std::chrono::milliseconds;

constexpr uint32_t kSearchers = 3;

class Cost {
 public:
  Cost() {
    GenerationConfig generation{.number = 1, .units = {}};
    for (uint32_t index = 0; index < FLAGS_services; ++index) {
      const ServiceId service("dagslage-" + std::to_string(index));
      generation.units[service] = 10;
      this->front.services.push_back({.name = service, .slots = 2});
      for (uint32_t searcher = 0; searcher < kSearchers; ++searcher) {
        const std::string number = std::to_string(searcher);
        this->targets[service].push_back(
            {.target = TargetId(service.str() + "-" + number),
             .zone = ZoneId("vast-" + number),
             .state = TargetState::kReady,
             .snapshots = {{1, 4}, {1, 5}}});
      }
    }
    this->front.generations = {generation};
  }

  void RunOne(TimePoint now) {
    QueryRun run({.front = this->front,
                  .own_zone = ZoneId("vast-1"),
                  .request_id = "q-1",
                  .start = now,
                  .deadline = now + milliseconds(500),
                  .state = this->state,
                  .hooks = this->Hooks()});
    TimePoint then = now + milliseconds(10);
    for (const QueryAction& action : run.Start(now)) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        then += std::chrono::microseconds(100);
        run.OnReply(send->attempt,
                    {.snapshot = send->snapshot,
                     .units = 10,
                     .hits = {{"r-1", 0.5}, {"r-2", 0.4}}},
                    then);
      }
    }
  }

 private:
  QueryHooks Hooks() {
    return {
        .candidates =
            [this](const ServiceId& service) { return this->targets[service]; },
        .next_attempt_id =
            [this] {
              return AttemptId("vast-1-host-" +
                               std::to_string(++this->attempts));
            },
        .random = [this] { return this->random(); }};
  }

  FrontConfig front;
  FrontState state{FrontConfig{}};
  std::map<ServiceId, std::vector<TargetCandidate>> targets;
  std::mt19937_64 random{1};
  uint64_t attempts = 0;
};

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Cost cost;
  const auto begin = std::chrono::steady_clock::now();
  TimePoint now{std::chrono::hours(1)};
  for (uint32_t query = 0; query < FLAGS_queries; ++query) {
    now += milliseconds(1);
    cost.RunOne(now);
  }
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - begin;
  std::printf("%.1f microseconds a query of %u services\n",
              took.count() / FLAGS_queries, FLAGS_services);
  return 0;
}
