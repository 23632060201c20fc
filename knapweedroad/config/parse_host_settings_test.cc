#include "knapweedroad/config/parse_host_settings.h"

#include <string>

#include <criterion/criterion.h>

#include "knapweedroad/config/deployment_config.h"
#include "knapweedroad/config/test_text.h"

namespace knapweedroad {
namespace {

constexpr std::string_view kValid = R"({
  "name": "leuven-1",
  "zone": "leuven",
  "caller_address": "127.0.0.1:7000",
  "target_address": "127.0.0.1:7001",
  "operator_address": "127.0.0.1:7002",
  "peer_address": "127.0.0.1:7003",
  "data_folder": "data/leuven-1",
  "initial_configuration": "deployment.json",
  "hosts": [
    {"name": "leuven-1", "zone": "leuven", "peer_address": "127.0.0.1:7003", "control_replica": true},
    {"name": "mechelen-1", "zone": "mechelen", "peer_address": "[::1]:7013"}
  ]
})";

void Expect(std::string_view piece,
            std::string_view replacement,
            std::string_view expected) {
  const auto parsed =
      ParseHostSettings(Replaced(kValid, piece, replacement), "f.json");
  cr_assert(!parsed.has_value());
  ExpectOneError(parsed.error(), expected);
}

Test(ParseHostSettings, ReadsEveryKey) {
  const auto settings = ParseHostSettings(kValid, "f.json");
  cr_assert(settings.has_value());
  cr_expect(settings->name.str() == "leuven-1");
  cr_expect(settings->operator_address.port == 7002);
  cr_expect(settings->data_folder == "data/leuven-1");
  cr_expect(settings->initial_configuration == "deployment.json");
  cr_expect(settings->hosts.at(0).control_replica);
  cr_expect(!settings->hosts.at(1).control_replica);
  cr_expect(settings->hosts.at(1).peer_address.ip == "::1");
}

Test(ParseHostSettings, RefusesUnknownKeys) {
  Expect("\"data_folder\": \"data", "\"folder\": 1, \"data_folder\": \"data",
         "8:3: folder: the key 'folder' is not known here");
  Expect("\"zone\": \"mechelen\"", "\"zone\": \"mechelen\", \"port\": 1",
         "12:48: hosts[1].port: the key 'port' is not known here");
}

Test(ParseHostSettings, RefusesWhatIsNoAddress) {
  for (const char* address : {"127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
                              "localhost:7000", "127.0.0.1:70x", "::1:7000",
                              "[127.0.0.1]:7000", "[::1:7000", ":7000"}) {
    Expect("127.0.0.1:7000", address, "4:21: caller_address: '");
  }
}

Test(ParseHostSettings, RefusesTwoListenersOnOneAddress) {
  Expect("127.0.0.1:7002", "127.0.0.1:7000",
         "6:23: operator_address: 127.0.0.1:7000 can't be had beside "
         "caller_address");
  Expect("127.0.0.1:7002", "0.0.0.0:7000", "6:23: operator_address: 0.0.0.0");
}

Test(ParseHostSettings, RefusesTwoHostsOnOneAddress) {
  Expect("[::1]:7013", "127.0.0.1:7003",
         "12:64: hosts[1].peer_address: the address '127.0.0.1:7003' stands "
         "twice; change this one or the one at hosts[0].peer_address");
}

Test(ParseHostSettings, RefusesTwoHostsOfOneName) {
  Expect("\"mechelen-1\"", "\"leuven-1\"",
         "12:14: hosts[1].name: the host 'leuven-1' stands twice");
}

Test(ParseHostSettings, RefusesAPeerThatCannotBeReached) {
  Expect("[::1]:7013", "0.0.0.0:7013",
         "12:64: hosts[1].peer_address: no host can be reached at 0.0.0.0");
}

Test(ParseHostSettings, RefusesAHostThatIsNotAmongItsHosts) {
  Expect("\"leuven-1\",\n  \"zone\"", "\"leuven-2\",\n  \"zone\"",
         "2:11: name: 'leuven-2' is not among hosts");
}

Test(ParseHostSettings, RefusesAHostThatDisagreesWithItsOwnEntry) {
  Expect("\"zone\": \"leuven\",\n", "\"zone\": \"mechelen\",\n",
         "3:11: zone: 'mechelen' is not the zone of hosts[0], 'leuven'");
  Expect("127.0.0.1:7003", "127.0.0.1:7004",
         "7:19: peer_address: 127.0.0.1:7004 is not the peer_address of");
}

Test(ParseHostSettings, ListensOnAllNumbersOfItsOwnEntrysPort) {
  const std::string text = Replaced(kValid, "127.0.0.1:7003", "0.0.0.0:7003");
  cr_assert(ParseHostSettings(text, "f.json").has_value());
}

// A replica that keeps its votes in memory alone forgets them at its next
// start, and a change that was accepted by its vote may be lost.
Test(ParseHostSettings, RefusesAControlReplicaWithoutDataFolder) {
  Expect("\"data_folder\": \"data/leuven-1\",", "",
         "1:1: data_folder: a control replica has to keep its state");
  Expect("\"data/leuven-1\"", "\"\"", "8:18: data_folder: the string is empty");
}

Test(ParseHostSettings, RefusesHostsWithoutAControlReplica) {
  Expect("\"control_replica\": true", "\"control_replica\": false",
         "10:12: hosts: no host is a control replica");
}

Test(ParseHostSettings, ComparesNothingWithAValueThatIsWrongItself) {
  Expect("\"name\": \"leuven-1\",\n", "\"name\": 1,\n", "2:11: name: expected");
  Expect("\"zone\": \"leuven\",\n", "\"zone\": 1,\n", "3:11: zone: expected");
  Expect("\"zone\": \"leuven\", \"peer", "\"zone\": 1, \"peer",
         "11:34: hosts[0].zone: expected");
  Expect("\"127.0.0.1:7003\",\n", "1,\n", "7:19: peer_address: expected");
  Expect("\"127.0.0.1:7003\", \"control", "1, \"control",
         "11:60: hosts[0].peer_address: expected");
  Expect("{\"name\": \"leuven-1\"", "{\"name\": 1",
         "11:14: hosts[0].name: exp");
}

Test(ParseHostSettings, RefusesAnEmptyListOfHosts) {
  const size_t list = kValid.find("[\n");
  const std::string text = std::string(kValid.substr(0, list)) + "[]}";
  const auto parsed = ParseHostSettings(text, "f.json");
  cr_assert(!parsed.has_value());
  ExpectOneError(parsed.error(), "10:12: hosts: the array is empty");
}

Test(ParseHostSettings, RefusesZonesThatTheDeploymentDoesNotHave) {
  const DeploymentConfig deployment{
      .name = "d",
      .zones = {{.name = ZoneId("leuven")}, {.name = ZoneId("mechelem")}}};
  const auto parsed = ParseHostSettingsFor(deployment, kValid, "f.json");
  cr_assert(!parsed.has_value());
  ExpectOneError(parsed.error(),
                 "12:36: hosts[1].zone: the deployment has no zone 'mechelen'; "
                 "did you mean 'mechelem'?");
}

}  // namespace
}  // namespace knapweedroad
