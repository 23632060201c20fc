#include "knapweedroad/testing/configuration_history.h"

#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/control/apply_change.h"
#include "knapweedroad/control/control_value.h"
#include "knapweedroad/host/change_gateway.h"
#include "knapweedroad/host/operator_api.h"
#include "knapweedroad/host/status_report.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr const char* kDeployment = R"({
  // One of the smallest that can be applied.
  "name": "small",
  "zones": [{"name": "leuven"}],
  "fronts": [{
    "name": "citaat", "kind": "records",
    "default_deadline": "100ms", "max_deadline": "1s",
    "tenants": [{"name": "citaat", "weight": 1}],
    "services": [{"name": "citaat-1", "searchers": 1, "slots": 1,
                  "connections": 1, "cold_slots": 1, "connect_cost": "1ms"}]
  }]})";

// What stands behind the hosts.
struct World {
  // Each value but the newest is answered to no read, unless `reads_old`.
  std::vector<ControlValue> values = {ControlValue()};
  bool reads_old = false;
  int calls = 0;
};

ChangeGatewayOptions Behind(World& world) {
  ChangeGatewayOptions options;
  options.change = [&world](const ChangeRequest& request, TimePoint) {
    ControlValue value = world.values.back();
    const ChangeOutcome outcome = ApplyChange(value, request);
    world.values.push_back(value);
    // Every third answer is lost after the change has run.
    return ++world.calls % 3 == 0 ? ChangeOutcome() : outcome;
  };
  options.read = [&world](TimePoint) -> std::optional<ControlValue> {
    const bool old = world.reads_old && world.values.size() > 9;
    return old ? world.values[world.values.size() - 9] : world.values.back();
  };
  return options;
}

std::vector<HistoryOperation> RunAgainst(World& world) {
  Runtime runtime;
  ChangeGateway gateway(Behind(world));
  OperatorApi api(
      {.gateway = gateway, .status = [] { return StatusReport(); }});
  HttpServer server(runtime,
                    {.endpoint = {.ip = "127.0.0.1"},
                     .handler = [&](const HttpRequest& request, HttpExchange&) {
                       return api.Handle(request);
                     }});
  const uint16_t port = server.Start().value();
  std::vector<HistoryOperation> history;
  runtime.Spawn([&] {
    ConfigurationHistory clients(
        runtime, {.operators = {{.ip = "127.0.0.1", .port = port}},
                  .deployment = kDeployment,
                  .duration = 300ms,
                  .pause = 1ms});
    auto run = clients.Run();
    cr_assert(run.has_value());
    history = *std::move(run);
    runtime.Stop();
  });
  runtime.Run();
  return history;
}

bool HasAccepted(const std::vector<HistoryOperation>& history) {
  return std::any_of(history.begin(), history.end(), [](const auto& each) {
    return each.kind == HistoryKind::kChange &&
           each.result == HistoryResult::kAccepted;
  });
}

Test(ConfigurationHistory, PassesHostsThatAnswerTheTruth) {
  World world;
  const auto history = RunAgainst(world);
  cr_assert(HasAccepted(history));
  const auto checked = CheckLinearizable(history);
  cr_assert(checked.has_value(), "%s",
            checked.has_value() ? "" : checked.error().c_str());
}

Test(ConfigurationHistory, RefusesHostsThatReadWhatHasBeenReplaced) {
  World world{.reads_old = true};
  const auto history = RunAgainst(world);
  cr_assert(HasAccepted(history));
  cr_assert(!CheckLinearizable(history).has_value());
}

}  // namespace
}  // namespace knapweedroad
