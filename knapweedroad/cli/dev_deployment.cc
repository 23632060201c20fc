#include "knapweedroad/cli/dev_deployment.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr uint32_t kServices = 4;
constexpr uint32_t kUnitsEach = 25;
constexpr uint16_t kPortsEach = 10;

FrontConfig ArchiveFront() {
  FrontConfig front{.name = FrontId("archive"),
                    .kind = FrontKind::kSearch,
                    .policy = AnswerPolicy::kTail,
                    .default_deadline = 500ms,
                    .max_deadline = 2s,
                    .tail_target = 150ms,
                    .minimum_coverage = 0.5,
                    .tenants = {{.name = TenantId("press"), .weight = 2},
                                {.name = TenantId("schools"), .weight = 1}}};
  GenerationConfig generation{.number = 1};
  for (uint32_t i = 0; i < kServices; ++i) {
    const ServiceId name("archive-" + std::to_string(i + 1));
    front.services.push_back({.name = name,
                              .searchers = 2,
                              .slots = 2,
                              .connections = 25,
                              .cold_slots = 1,
                              .connect_cost = 6ms});
    generation.units.emplace(name, kUnitsEach);
  }
  front.generations.push_back(std::move(generation));
  return front;
}

FrontConfig NoticesFront() {
  const ServiceId service("notices");
  return {
      .name = FrontId("notices"),
      .kind = FrontKind::kRecords,
      .default_deadline = 500ms,
      .max_deadline = 2s,
      .tenants = {{.name = TenantId("press")}, {.name = TenantId("schools")}},
      .services = {{.name = service,
                    .searchers = 3,
                    .slots = 4,
                    .connections = 45,
                    .cold_slots = 1,
                    .connect_cost = 1ms}},
      .generations = {{.number = 1, .units = {{service, 1}}}}};
}

}  // namespace

DeploymentConfig DevDeployment() {
  return {.name = "dev",
          .zones = {{.name = ZoneId("north")}, {.name = ZoneId("south")}},
          .fronts = {ArchiveFront(), NoticesFront()}};
}

std::vector<HostSettings> DevHosts(uint16_t first_port,
                                   const std::string& data_folder) {
  const std::vector<std::pair<const char*, const char*>> hosts = {
      {"north-1", "north"}, {"north-2", "north"}, {"south-1", "south"}};
  std::vector<PeerSettings> peers;
  uint16_t port = first_port;
  for (const auto& [name, zone] : hosts) {
    peers.push_back(
        {.name = HostId(name),
         .zone = ZoneId(zone),
         .peer_address = {"127.0.0.1", static_cast<uint16_t>(port + 4)},
         .control_replica = true});
    port = static_cast<uint16_t>(port + kPortsEach);
  }
  std::vector<HostSettings> all;
  port = first_port;
  for (const PeerSettings& peer : peers) {
    const auto address = [&](int offset) {
      return Endpoint{"127.0.0.1", static_cast<uint16_t>(port + offset)};
    };
    all.push_back({.name = peer.name,
                   .zone = peer.zone,
                   .caller_address = address(1),
                   .target_address = address(2),
                   .operator_address = address(3),
                   .peer_address = address(4),
                   .data_folder = data_folder + "/" + peer.name.str(),
                   .hosts = peers});
    port = static_cast<uint16_t>(port + kPortsEach);
  }
  return all;
}

}  // namespace knapweedroad
