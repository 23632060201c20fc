// A fixture for query tests: a front with two services (`s1` with 60 units,
// `s2` with 40) of two targets each, and fake candidates.

#ifndef KNAPWEEDROAD_QUERY_QUERY_TEST_FIXTURE_H_
#define KNAPWEEDROAD_QUERY_QUERY_TEST_FIXTURE_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "knapweedroad/query/front_state.h"
#include "knapweedroad/query/query_run.h"

namespace knapweedroad {

inline constexpr SnapshotId kOldSnapshot{.generation = 1, .index_version = 4};
inline constexpr SnapshotId kNewSnapshot{.generation = 1, .index_version = 5};

inline std::vector<SendAttempt> Sends(const QueryActions& actions) {
  std::vector<SendAttempt> sends;
  for (const QueryAction& action : actions) {
    if (const auto* send = std::get_if<SendAttempt>(&action)) {
      sends.push_back(*send);
    }
  }
  return sends;
}

inline std::vector<CancelAttempt> Cancels(const QueryActions& actions) {
  std::vector<CancelAttempt> cancels;
  for (const QueryAction& action : actions) {
    if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      cancels.push_back(*cancel);
    }
  }
  return cancels;
}

inline std::optional<QueryAnswer> Answer(const QueryActions& actions) {
  for (const QueryAction& action : actions) {
    if (const auto* finish = std::get_if<FinishAnswer>(&action)) {
      return finish->answer;
    }
  }
  return std::nullopt;
}

inline std::optional<QueryRefusal> Refusal(const QueryActions& actions) {
  for (const QueryAction& action : actions) {
    if (const auto* finish = std::get_if<FinishRefusal>(&action)) {
      return finish->refusal;
    }
  }
  return std::nullopt;
}

class QueryTestFixture {
 public:
  QueryTestFixture() {
    this->front.default_deadline = std::chrono::milliseconds(100);
    this->front.tail_target = std::chrono::milliseconds(50);
    this->front.minimum_coverage = 0.5;
    this->front.hedge_quantile = 0.9;
    this->front.services = {{.name = ServiceId("s1"), .slots = 2},
                            {.name = ServiceId("s2"), .slots = 2}};
    this->front.generations = {
        {.number = 1, .units = {{ServiceId("s1"), 60}, {ServiceId("s2"), 40}}}};
    this->AddTarget("s1", "s1-a", "here");
    this->AddTarget("s1", "s1-b", "there");
    this->AddTarget("s2", "s2-a", "here");
    this->AddTarget("s2", "s2-b", "there");
  }

  void AddTarget(const char* service, const char* target, const char* zone) {
    this->targets[ServiceId(service)].push_back({.target = TargetId(target),
                                                 .zone = ZoneId(zone),
                                                 .state = TargetState::kReady,
                                                 .snapshots = {kOldSnapshot}});
  }

  TargetCandidate& Target(const char* service, size_t index) {
    return this->targets[ServiceId(service)][index];
  }

  // Records 100 samples of this latency for each service and zone.
  void RecordLatencies(std::chrono::milliseconds latency) {
    for (const auto& [service, candidates] : this->targets) {
      for (int sample = 0; sample < 100; ++sample) {
        this->state.latencies.Record(service, ZoneId("here"), latency);
        this->state.latencies.Record(service, ZoneId("there"), latency);
      }
    }
  }

  QueryHooks Hooks() {
    QueryHooks hooks;
    hooks.candidates = [this](const ServiceId& service) {
      return this->targets[service];
    };
    hooks.next_attempt_id = [this] {
      return AttemptId("attempt-" + std::to_string(++this->attempt_count));
    };
    hooks.random = [this] { return this->random(); };
    return hooks;
  }

  QueryRun MakeRun() { return this->MakeRun(this->Hooks()); }

  QueryRun MakeRun(QueryHooks hooks) {
    return QueryRun({.front = this->front,
                     .own_zone = ZoneId("here"),
                     .request_id = "q-1",
                     .start = this->At(0),
                     .deadline = this->At(100),
                     .state = this->state,
                     .hooks = std::move(hooks)});
  }

  TimePoint At(int milliseconds) const {
    return TimePoint(std::chrono::hours(1)) +
           std::chrono::milliseconds(milliseconds);
  }

  // Returns a reply with one hit of this id that covers all units of its
  // service.
  SearchReply Reply(const char* hit, SnapshotId snapshot = kOldSnapshot) const {
    return {.snapshot = snapshot, .units = 100, .hits = {{hit, 0.5}}};
  }

  FrontConfig front;
  FrontState state{FrontConfig{}};
  std::map<ServiceId, std::vector<TargetCandidate>> targets;
  std::mt19937_64 random{7};
  int attempt_count = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_QUERY_TEST_FIXTURE_H_
