// A front of many services with six targets each, as one query sees it.
//
//   QueryWorld world(1500);
//   world.RunQuery();

#ifndef KNAPWEEDROAD_BENCH_CAPACITY_QUERY_WORLD_H_
#define KNAPWEEDROAD_BENCH_CAPACITY_QUERY_WORLD_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "knapweedroad/query/front_state.h"
#include "knapweedroad/query/query_run.h"

namespace knapweedroad {

class QueryWorld {
 public:
  explicit QueryWorld(int fan_out) {
    GenerationConfig generation{.number = 1};
    this->front.default_deadline = std::chrono::milliseconds(100);
    this->front.hedge_quantile = 0.95;
    for (int number = 1; number <= fan_out; ++number) {
      const ServiceId service("front-1-" + std::to_string(number));
      this->front.services.push_back({.name = service, .slots = 2});
      generation.units[service] = 10;
      for (int replica = 1; replica <= kReplicas; ++replica) {
        this->targets[service].push_back(
            {.target = TargetId(service.str() + "-" + std::to_string(replica)),
             .zone = ZoneId("zone-" + std::to_string(replica)),
             .snapshots = {kSnapshot}});
      }
    }
    this->front.generations = {generation};
  }

  // A run and its first sends; every target has still to answer.
  QueryRun Start(std::vector<SendAttempt>& sends) {
    QueryHooks hooks{
        .candidates =
            [this](const ServiceId& service) { return this->targets[service]; },
        .next_attempt_id =
            [this] { return AttemptId(std::to_string(++this->attempts)); },
        .random = [this] { return this->random(); }};
    QueryRun run({.front = this->front,
                  .own_zone = ZoneId("zone-1"),
                  .request_id = "q-1",
                  .start = this->now,
                  .deadline = this->now + std::chrono::milliseconds(100),
                  .state = this->state,
                  .hooks = hooks});
    for (const QueryAction& action : run.Start(this->now)) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        sends.push_back(*send);
      }
    }
    return run;
  }

  // From the start to the merged answer, each target giving ten hits. True if
  // an answer came.
  bool RunQuery() {
    std::vector<SendAttempt> sends;
    QueryRun run = this->Start(sends);
    for (const SendAttempt& send : sends) {
      this->now += std::chrono::microseconds(1);
      run.OnReply(send.attempt, this->Reply(), this->now);
    }
    return run.finished();
  }

 private:
  static constexpr int kReplicas = 6;
  static constexpr int kHits = 10;
  static constexpr SnapshotId kSnapshot{.generation = 1, .index_version = 17};

  SearchReply Reply() {
    SearchReply reply{.snapshot = kSnapshot, .units = 10};
    for (int number = 0; number < kHits; ++number) {
      const uint64_t drawn = this->random();
      reply.hits.push_back({"r-" + std::to_string(drawn % 1000000),
                            static_cast<double>(drawn % 1000) / 1000});
    }
    return reply;
  }

  FrontConfig front;
  FrontState state{FrontConfig{}};
  std::map<ServiceId, std::vector<TargetCandidate>> targets;
  std::mt19937_64 random{7};
  TimePoint now{std::chrono::hours(1)};
  int attempts = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BENCH_CAPACITY_QUERY_WORLD_H_
