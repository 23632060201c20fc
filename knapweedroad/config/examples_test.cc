// The examples are what operators start from: each has to pass every check and
// to agree with its neighbours.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/config/parse_deployment.h"
#include "knapweedroad/config/parse_host_settings.h"
#include "knapweedroad/config/print_deployment.h"
#include "knapweedroad/config/test_text.h"

namespace knapweedroad {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view kExamples = KWR_EXAMPLES_DIR;
constexpr size_t kHosts = 9;
constexpr size_t kReplicas = 3;

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path);
  cr_assert(file.good(), "%s", path.c_str());
  return {std::istreambuf_iterator<char>(file), {}};
}

DeploymentConfig ReadDeployment(const fs::path& folder) {
  const fs::path path = folder / "deployment.json";
  const auto parsed = ParseDeployment(ReadFile(path), path.string());
  cr_assert(parsed.has_value(), "%s", Lines(parsed.error()).c_str());
  return *parsed;
}

std::vector<HostSettings> ReadHosts(const fs::path& folder) {
  const DeploymentConfig deployment = ReadDeployment(folder);
  std::vector<HostSettings> hosts;
  for (const auto& entry : fs::directory_iterator(folder / "hosts")) {
    const fs::path& path = entry.path();
    auto parsed =
        ParseHostSettingsFor(deployment, ReadFile(path), path.string());
    cr_assert(parsed.has_value(), "%s", Lines(parsed.error()).c_str());
    cr_expect(parsed->name.str() == path.stem());
    hosts.push_back(*std::move(parsed));
  }
  return hosts;
}

// Runs the test for both folders.
template <typename Check>
void ForBoth(const Check& check) {
  check(fs::path(kExamples) / "be-centre");
  check(fs::path(kExamples) / "se-vast");
}

Test(Examples, EveryFilePassesItsChecks) {
  ForBoth([](const fs::path& folder) {
    cr_assert(ReadHosts(folder).size() == kHosts);
  });
}

Test(Examples, TheDeploymentIsAsItIsPrinted) {
  ForBoth([](const fs::path& folder) {
    const std::string text = ReadFile(folder / "deployment.json");
    cr_assert(PrintDeployment(ReadDeployment(folder)) == text);
  });
}

Test(Examples, EveryHostKnowsTheSameHosts) {
  ForBoth([](const fs::path& folder) {
    const std::vector<HostSettings> hosts = ReadHosts(folder);
    for (const HostSettings& host : hosts) {
      cr_assert(host.hosts == hosts[0].hosts);
    }
    cr_assert(hosts[0].hosts.size() == kHosts);
  });
}

Test(Examples, NoTwoListenersShareAnAddress) {
  std::set<Endpoint> addresses;
  ForBoth([&addresses](const fs::path& folder) {
    for (const HostSettings& host : ReadHosts(folder)) {
      for (const Endpoint& address :
           {host.caller_address, host.target_address, host.operator_address,
            host.peer_address}) {
        cr_assert(addresses.insert(address).second, "port %u", address.port);
      }
    }
  });
}

Test(Examples, ReplicasStandInThreeZonesWithTheirFolders) {
  ForBoth([](const fs::path& folder) {
    std::set<ZoneId> zones;
    const HostSettings any_host = ReadHosts(folder).at(0);
    for (const PeerSettings& peer : any_host.hosts) {
      if (peer.control_replica) {
        zones.insert(peer.zone);
      }
    }
    cr_assert(zones.size() == kReplicas);
  });
}

Test(Examples, EveryZoneHasAHost) {
  ForBoth([](const fs::path& folder) {
    std::set<ZoneId> zones;
    for (const HostSettings& host : ReadHosts(folder)) {
      zones.insert(host.zone);
    }
    cr_assert(zones.size() == ReadDeployment(folder).zones.size());
  });
}

}  // namespace
}  // namespace knapweedroad
