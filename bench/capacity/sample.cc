#include "bench/capacity/sample.h"

#include <cstdint>
#include <string_view>

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr int kHits = 10;
constexpr int kServices = 15;
constexpr int kControlReplicas = 3;
constexpr uint16_t kFirstPort = 10000;
constexpr uint64_t kIncarnation = 1796000000000000000;

std::string ServicesText(const std::string& front) {
  std::string services;
  std::string units;
  for (int number = 1; number <= kServices; ++number) {
    const std::string name = front + "-" + std::to_string(number);
    const std::string_view comma = number == 1 ? "" : ",";
    services.append(comma)
        .append(R"({"name": ")")
        .append(name)
        .append(R"(", "searchers": 6, "slots": 2, "connections": 25,)"
                R"( "cold_slots": 1, "connect_cost": "6ms"})");
    units.append(comma).append("\"").append(name).append("\": 10");
  }
  return "\"services\": [" + services +
         "], \"generations\": [{\"number\": 1, \"units\": {" + units + "}}]";
}

std::string FrontText(int number) {
  const std::string name = "front-" + std::to_string(number);
  return R"({"name": ")" + name +
         R"(", "kind": "search", "default_deadline": "400ms",)"
         R"( "max_deadline": "2s", "policy": "tail", "tail_target": "90ms",)"
         R"( "minimum_coverage": 0.8, "hedge_quantile": 0.95,)"
         R"( "hedge_budget": 0.05, "retry_budget": 0.1, "tenants": [{"name":)"
         R"( "editors", "weight": 3, "class_weights": {"urgent": 4}}], )" +
         ServicesText(name) + "}";
}

}  // namespace

std::string SampleTargetName(int number) {
  return "front-1-" + std::to_string(number) + "-1";
}

std::string SampleAttemptName(int number) {
  return "brussel-a-1.18f3a2b4c5d6e7f8." + std::to_string(number);
}

AttemptCall SampleCall(int number) {
  return {.attempt = AttemptId(SampleAttemptName(number)),
          .target = TargetId(SampleTargetName(number)),
          .front = FrontId("front-1"),
          .tenant = TenantId("editors"),
          .request_class = "urgent",
          .remaining_ns = 90'000'000,
          .snapshot = {.generation = 1, .index_version = 17},
          .request_id = "brussel-a-1.q-1234567",
          .body = R"({"query": "overnight stays in guest harbours after the)"
                  R"( storm of the second week", "limit": 10})"};
}

AttemptReply SampleReply() {
  std::string hits;
  for (int number = 0; number < kHits; ++number) {
    hits += std::string(number == 0 ? "" : ", ") + R"({"id": "r-1000)" +
            std::to_string(number) + R"(", "score": 0.9375})";
  }
  return {.end = AttemptEnd::kAnswered,
          .outcome = RunOutcome::kRun,
          .status = 200,
          .snapshot = {.generation = 1, .index_version = 17},
          .body = R"({"units": 10, "hits": [)" + hits + "]}"};
}

TargetReport SampleReport(int number) {
  return {.target = TargetId(SampleTargetName(number)),
          .front = FrontId("front-1"),
          .service = ServiceId("front-1-" + std::to_string(number)),
          .zone = ZoneId("brussel-a"),
          .address = "10.20.30.40:9001",
          .incarnation = kIncarnation,
          .sequence = 1,
          .state = TargetState::kReady,
          .snapshots = {{1, 16}, {1, 17}},
          .in_flight = 1};
}

HeldTarget SampleHeld(int number) {
  return {.target = TargetId(SampleTargetName(number)),
          .slots = 2,
          .held_for = 100s};
}

std::vector<PeerSettings> SampleHosts(int count) {
  std::vector<PeerSettings> hosts;
  for (int number = 0; number < count; ++number) {
    const auto port = static_cast<uint16_t>(kFirstPort + number);
    hosts.push_back({.name = HostId("brussel-a-" + std::to_string(number)),
                     .zone = ZoneId("brussel-a"),
                     .peer_address = {.ip = "127.0.0.1", .port = port},
                     .control_replica = number < kControlReplicas});
  }
  return hosts;
}

std::string SampleDeployment(int fronts, bool zone_out) {
  std::string all;
  for (int number = 1; number <= fronts; ++number) {
    all += (number == 1 ? "" : ",") + FrontText(number);
  }
  return std::string(R"({"name": "sample", "zones": [{"name": "brussel-a",)") +
         R"( "out": )" + (zone_out ? "true" : "false") + R"(}], "fronts": [)" +
         all + "]}";
}

}  // namespace knapweedroad
