#include "knapweedroad/load/load_runner.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/index_truth.h"
#include "knapweedroad/testing/stand_in_searcher.h"

namespace knapweedroad {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

LoadPlan Plan() {
  LoadPlan plan{.name = "short", .duration = milliseconds(200)};
  plan.fronts.push_back(
      {.name = FrontId("redactie"), .units = {{1, {{ServiceId("s-1"), 10}}}}});
  plan.streams.push_back({.front = FrontId("redactie"),
                          .rate_per_second = 200,
                          .until = milliseconds(200),
                          .deadline = milliseconds(1000),
                          .callers = {{.tenant = TenantId("radio")}}});
  return plan;
}

// Returns a host's answer with full coverage of the only service.
HttpResponse TrueAnswer(const HttpRequest& request) {
  const std::string query = json::parse(request.body).at("query");
  json hits = json::array();
  for (const IndexHit& hit : TrueHits({.front = FrontId("redactie"),
                             .snapshot = {.generation = 1, .index_version = 1},
                             .service = ServiceId("s-1")},
                                      query)) {
    hits.push_back({{"id", hit.id}, {"score", hit.score}});
  }
  const std::string id(FindHeader(request.headers, "Knapweed-Request-Id"));
  const json body = {{"request_id", id},
                     {"front", "redactie"},
                     {"snapshot", "1.1"},
                     {"coverage", 1.0},
                     {"units_answered", 10},
                     {"units_total", 10},
                     {"missing_services", json::array()},
                     {"hits", hits}};
  HttpResponse response{.body = body.dump()};
  response.headers["Knapweed-Request-Id"] = id;
  response.headers["Knapweed-Snapshot"] = "1.1";
  response.headers["Knapweed-Coverage"] = "1.0000";
  response.headers["Knapweed-Outcome"] = "run";
  return response;
}

LoadReport RunAgainst(Runtime& runtime, HttpHandler handler) {
  HttpServer host(runtime, {.endpoint = {.ip = "127.0.0.1"},
                            .handler = std::move(handler)});
  const uint16_t port = host.Start().value();
  StandInSearcher searcher(runtime, {.core = {.target = TargetId("s-1-1")},
                                     .endpoint = {.ip = "127.0.0.1"}});
  const auto ports = searcher.Start();
  LoadRunner runner(
      runtime, {.plan = Plan(),
                .run = "test",
                .callers = {{.ip = "127.0.0.1", .port = port}},
                .controls = {{.ip = "127.0.0.1", .port = ports->control}}});
  return runner.Run();
}

Test(LoadRunner, AcceptsCorrectAnswers) {
  Runtime runtime;
  const LoadReport report =
      RunAgainst(runtime, [](const HttpRequest& request, HttpExchange&) {
        return TrueAnswer(request);
      });
  cr_assert_gt(report.total.answered, 0);
  cr_assert_eq(report.total.answered, report.answers_checked);
  cr_assert_eq(report.targets.targets, 1);
  cr_assert(report.generator.timeline_failures.empty());
  cr_assert(!report.HasViolation());
}

Test(LoadRunner, DetectsAnswersOfAnotherQuery) {
  Runtime runtime;
  const LoadReport report =
      RunAgainst(runtime, [](const HttpRequest& request, HttpExchange&) {
        HttpRequest other = request;
        other.body = R"({"query": "another"})";
        return TrueAnswer(other);
      });
  cr_assert(report.HasViolation());
  cr_assert_eq(report.violations.at("hits_not_of_the_snapshot"),
               report.answers_checked);
}

}  // namespace
}  // namespace knapweedroad
