#include "knapweedroad/testing/baseline_host.h"

#include <criterion/criterion.h>

#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/history_checker.h"
#include "knapweedroad/testing/stand_in_fleet.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

DeploymentConfig Deployment() {
  FrontConfig front{.name = FrontId("redactie")};
  front.generations.push_back({.number = 1});
  for (const char* name : {"s-1", "s-2"}) {
    front.services.push_back({.name = ServiceId(name),
                              .searchers = 1,
                              .slots = 2,
                              .connections = 25,
                              .cold_slots = 1});
    front.generations[0].units[ServiceId(name)] = 10;
  }
  return {.zones = {{.name = ZoneId("a")}}, .fronts = {front}};
}

// The bench itself, end to end: stand-ins announce themselves, a host scatters
// to them, and the checker finds the answer true.
Test(BaselineHost, AnswersTrulyFromTheStandIns) {
  Runtime runtime;
  BaselineHost host(runtime, {.deployment = Deployment(),
                              .caller_address = {.ip = "127.0.0.1"},
                              .target_address = {.ip = "127.0.0.1"}});
  const auto ports = host.Start();
  std::vector<std::unique_ptr<StandInSearcher>> searchers;
  for (const StandInOptions& options : PlanFleet(
           Deployment(),
           {.host_addresses = {{.ip = "127.0.0.1", .port = ports->target}},
           .service_time_median = milliseconds(1)})) {
    searchers.push_back(std::make_unique<StandInSearcher>(runtime, options));
    cr_assert(searchers.back()->Start().has_value());
  }
  HttpClient client(runtime,
                    {.endpoint = {.ip = "127.0.0.1", .port = ports->caller}});
  CallRecord call{.front = FrontId("redactie"),
                  .request_id = "q-1",
                  .subject = "storm",
                  .limit = 100};
  HttpRequest request{.method = "POST", .path = "/v1/fronts/redactie/query"};
  request.body = R"({"query": "storm", "limit": 100})";
  request.headers["Knapweed-Request-Id"] = call.request_id;
  request.headers["Knapweed-Deadline-Ms"] = "10000";
  do {
    const auto response = client.Send(request, Runtime::Now() + seconds(60));
    cr_assert(response.has_value());
    call.status = response->status;
    call.headers = response->headers;
    call.body = response->body;
  } while (FindHeader(call.headers, "Knapweed-Coverage") != "1.0000");
  HistoryChecker checker(
      {{.name = FrontId("redactie"),
        .units = {{1, {{ServiceId("s-1"), 10}, {ServiceId("s-2"), 10}}}}}});
  checker.Check(call);
  cr_assert(checker.broken().empty());
}

}  // namespace
}  // namespace knapweedroad
