#include "knapweedroad/edge/routing_in_force.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "knapweedroad/registry/agreed_state.h"
#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow = TimePoint(std::chrono::seconds(100));

// A host whose configurations are the name of the one service; "?" can't be
// read.
struct Host {
  RoutingInForce routing{
      {.read = [](std::string_view text) { return Read(text); },
       .is_served =
           [this](const ServiceId& service) {
             return service != this->unserved;
           },
       .on_zones_out =
           [this](const std::vector<ZoneId>& zones) {
             this->zones_out = zones;
           },
       .on_rollouts =
           [this](const std::vector<RolloutRecord>& agreed) {
             this->rollouts = agreed;
           },
       .on_in_force =
           [this](const std::shared_ptr<const RouteTable>& table) {
             this->in_force.push_back(table->version());
           }}};
  ServiceId unserved;
  std::vector<ZoneId> zones_out;
  std::vector<RolloutRecord> rollouts;
  std::vector<uint64_t> in_force;

  static tl::expected<RoutingConfig, std::string> Read(std::string_view text) {
    if (text == "?") {
      return tl::unexpected(std::string("not a configuration"));
    }
    RoutingConfig config{.version = text.size()};
    config.routes.push_back(
        {.name = "all",
         .host_name = "questions",
         .path_prefix = "/",
         .services = {{.service = ServiceId(std::string(text))}}});
    return config;
  }

  void Agree(uint64_t version,
             uint64_t number,
             const std::string& text,
             std::vector<ZoneId> zones = {}) {
    this->routing.OnAgreed(
        version,
        EncodeAgreedState(
            {.number = number, .text = text, .zones_out = std::move(zones)}),
        kNow);
  }
};

// Guards against a host that goes back to an older configuration because a
// control host with older knowledge was heard last.
Test(routing_in_force, versions_only_rise) {
  Host host;
  host.Agree(2, 2, "ab");
  host.Agree(1, 1, "a");
  cr_expect(host.in_force == std::vector<uint64_t>{2});
  cr_expect(host.routing.agreed_version() == 2);
}

// Guards against a host that leaves its routes because an operator put a text
// that it can't read, and against one that never reads the next one.
Test(routing_in_force, a_text_that_cannot_be_read_changes_nothing) {
  Host host;
  host.Agree(1, 1, "a");
  host.Agree(2, 2, "?");
  cr_expect(host.in_force == std::vector<uint64_t>{1});
  host.Agree(3, 3, "abc");
  cr_expect(host.in_force == (std::vector<uint64_t>{1, 3}));
}

// Guards against bytes of another release that are taken for the state.
Test(routing_in_force, bytes_that_are_no_state_are_not_counted_as_seen) {
  Host host;
  host.routing.OnAgreed(5, "no state", kNow);
  cr_expect(host.routing.agreed_version() == 0);
}

// Guards against targets of a zone that is taken out and are used on, as the
// routes are unchanged.
Test(routing_in_force, a_zone_is_out_at_once) {
  Host host;
  host.Agree(1, 1, "a");
  host.Agree(2, 1, "a", {ZoneId("north")});
  cr_expect(host.zones_out == std::vector{ZoneId("north")});
  cr_expect(host.in_force == std::vector<uint64_t>{1});
}

// Guards against an index that is cut anew and whose questions are refused
// until the new shards' targets are there.
Test(routing_in_force, a_version_without_targets_is_held_back_for_a_while) {
  Host host;
  host.Agree(1, 1, "a");
  host.unserved = ServiceId("ab");
  host.Agree(2, 2, "ab");
  cr_expect(host.in_force == std::vector<uint64_t>{1});
  host.unserved = ServiceId();
  host.routing.Adopt(kNow + milliseconds(100));
  cr_expect(host.in_force == (std::vector<uint64_t>{1, 2}));
}

}  // namespace
}  // namespace knapweedroad
