#include <sstream>

#include <gflags/gflags.h>

#include "knapweedroad/cli/command.h"
#include "knapweedroad/load/address_list.h"
#include "knapweedroad/testing/searcher_command.h"

DEFINE_string(targets, "*", "which searchers to run; * for any text");
DEFINE_string(zones,
              "",
              "only the searchers of these zones, separated by commas");
DEFINE_string(hosts, "", "target addresses of hosts, IP:PORT,...; required");
DEFINE_int32(searcher_port, 9000, "the first searcher's port");
DEFINE_int32(control_port, 9500, "the first searcher's control port");
DEFINE_bool(cold, true, "start cold");
DEFINE_double(median_ms, 5.0, "median service time in ms");
DEFINE_double(sigma, 0.3, "sigma of the log-normal service time");
DEFINE_uint64(searcher_seed, 1, "seed of service times and faults");

namespace knapweedroad {
namespace {

std::vector<ZoneId> ParseZones(const std::string& list) {
  std::vector<ZoneId> zones;
  std::istringstream words(list);
  for (std::string word; std::getline(words, word, ',');) {
    zones.emplace_back(word);
  }
  return zones;
}

int RunSearcher(std::span<const std::string> words) {
  if (words.size() != 1 || FLAGS_hosts.empty()) {
    return UsageError(kSearcherCommand,
                      "it takes --hosts and a deployment file");
  }
  const auto hosts = ParseAddressList(FLAGS_hosts);
  if (!hosts) {
    return UsageError(kSearcherCommand, hosts.error());
  }
  const auto median = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(FLAGS_median_ms));
  return RunSearcherCommand(
      {.deployment_file = words[0],
       .fleet = {
           .targets = FLAGS_targets,
           .zones = ParseZones(FLAGS_zones),
           .first_port = static_cast<uint16_t>(FLAGS_searcher_port),
           .first_control_port = static_cast<uint16_t>(FLAGS_control_port),
           .host_addresses = *hosts,
           .starts_cold = FLAGS_cold,
           .service_time_median = median,
           .service_time_sigma = FLAGS_sigma,
           .seed = FLAGS_searcher_seed}});
}

}  // namespace

const Command kSearcherCommand{
    .name = "searcher",
    .summary = "runs stand-in searchers of a deployment",
    .usage =
        "searcher --hosts IP:PORT,... DEPLOYMENT.json\n\nEach announces "
        "itself to the hosts and serves until SIGTERM; then it leaves.\n",
    .flags_file = "searcher_command_line",
    .run = RunSearcher};

}  // namespace knapweedroad
