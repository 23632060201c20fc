#include "knapweedroad/edge/admit_request.h"

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/caller_server.h"
#include "knapweedroad/edge/entry_metrics.h"
#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/gather_links.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/loss_sharing.h"
#include "knapweedroad/edge/request_admission.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/quota/quota_decision.h"
#include "knapweedroad/routing/load_balancer.h"
#include "knapweedroad/routing/query_of_death_detector.h"
#include "knapweedroad/routing/relay_choice.h"
#include "knapweedroad/routing/route_table.h"
#include "knapweedroad/routing/weighted_round_robin.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Exchange : public CallerExchange {
 public:
  void Answer(CallerAnswer given) override {
    this->on_abandoned = nullptr;
    this->answer = std::move(given);
  }

  std::optional<CallerAnswer> answer;
};

std::shared_ptr<const RouteTable> MakeTable() {
  return std::make_shared<RouteTable>(RoutingConfig{
      .version = 1,
      .routes = {{.name = "r",
                  .host_name = "h",
                  .path_prefix = "/a/",
                  .timeout = seconds(1),
                  .latency_target = seconds(1),
                  .services = {{.service = ServiceId("s")}}}},
      .services = {{.name = ServiceId("s")}},
      .accounts = {
          {{.name = AccountId("acme"), .keys = {"k"}, .quota = {.rate = 1}}}}});
}

// An entry host without targets: a request that runs is answered with 503.
struct Host {
  std::shared_ptr<Exchange> Ask(const std::string& path,
                                std::vector<std::string> authorization) {
    auto exchange = std::make_shared<Exchange>();
    AdmitCallerRequest(this->parts,
                       {.method = "GET",
                        .path = path,
                        .host = "h",
                        .authorization = std::move(authorization),
                        .received = Runtime::Now()},
                       exchange);
    return exchange;
  }

  // Whether a request has been planned or charged to a budget.
  bool has_run() const {
    return !this->parts.routes.empty() || !this->parts.budgets.empty();
  }

  // Answers the request for a permit that came last.
  std::function<void(const QuotaDecision&)> decide;
  Runtime runtime;
  HeaderNames names;
  LoadBalancer balancer{
      LoadBalancerOptions{.self = HostId("e"), .zone = ZoneId("z")}};
  TargetLinks links{
      runtime,
      {.header_names = names, .on_idle_closed = [](const TargetId&) {}}};
  RelayChoice relays{{}};
  GatherLinks gather_links{runtime, relays};
  QueryOfDeathDetector detector{{}};
  LossSharing loss_sharing{runtime, {.detector = detector}};
  WeightedRoundRobin rotation;
  EntryMetrics metrics;
  RequestAdmission admission{
      {.take_permit = [this](const AccountId&, auto on_decision) {
        this->decide = std::move(on_decision);
      }}};
  EntryParts parts{.runtime = runtime,
                   .header_names = names,
                   .balancer = balancer,
                   .links = links,
                   .metrics = metrics,
                   .admission = admission,
                   .rotation = rotation,
                   .started = Runtime::Now(),
                   .shedding = ShardShedding({.seed = 1}),
                   .sampler = AnswerSampler({.host = HostId("e"), .epoch = 1}),
                   .relays = relays,
                   .gather_links = gather_links,
                   .detector = detector,
                   .loss_sharing = loss_sharing,
                   .table = MakeTable()};
};

Test(admit_request, a_rejected_request_is_not_run, .timeout = 60) {
  Host host;
  const auto unknown_route = host.Ask("/b/", {});
  cr_assert(unknown_route->answer.has_value());
  cr_expect(unknown_route->answer->status == 404);
  const auto no_key = host.Ask("/a/", {});
  cr_assert(no_key->answer.has_value());
  cr_expect(no_key->answer->status == 401);
  cr_expect(no_key->answer->header == "WWW-Authenticate: Bearer\r\n");
  const auto over_quota = host.Ask("/a/", {"Bearer k"});
  cr_expect(!over_quota->answer.has_value());
  host.decide(
      {.outcome = QuotaOutcome::kOverQuota, .retry_after = milliseconds(1500)});
  cr_assert(over_quota->answer.has_value());
  cr_expect(over_quota->answer->status == 429);
  cr_expect(over_quota->answer->header == "Retry-After: 1.500\r\n");
  cr_expect(!host.has_run());
}

// A leaving host sends a request to a target that it will cut at its end.
Test(admit_request,
     a_request_that_may_outlive_the_host_is_refused,
     .timeout = 60) {
  Host host;
  const TimePoint now = Runtime::Now();
  host.parts.leaving.emplace(
      LeavingScheduleOptions{.told_at = now - seconds(4), .grace = seconds(5)});
  const auto late = host.Ask("/a/", {"Bearer k"});
  cr_assert(late->answer.has_value());
  cr_expect(late->answer->status == 503);
  cr_expect(late->answer->header == "Retry-After: 0.000\r\n");
  host.parts.leaving.emplace(
      LeavingScheduleOptions{.told_at = now, .grace = seconds(5)});
  const auto early = host.Ask("/a/", {"Bearer k"});
  cr_expect(!early->answer.has_value());
  host.parts.leaving.emplace(
      LeavingScheduleOptions{.told_at = now - seconds(4), .grace = seconds(5)});
  host.decide({.outcome = QuotaOutcome::kGranted});
  cr_assert(early->answer.has_value());
  cr_expect(early->answer->status == 503);
  cr_expect(!host.has_run());
}

// A request that waits for a permit is cut when the host ends.
Test(admit_request,
     a_request_that_waits_at_the_end_is_answered,
     .timeout = 60) {
  Host host;
  const auto exchange = host.Ask("/a/", {"Bearer k"});
  cr_assert(exchange->on_stopped != nullptr);
  exchange->on_stopped();
  cr_assert(exchange->answer.has_value());
  cr_expect(exchange->answer->status == 503);
  host.decide({.outcome = QuotaOutcome::kGranted});
  cr_expect(!host.has_run());
}

// Guards against retry budgets that grow by requests that wait for a permit.
Test(admit_request, a_request_runs_once_its_permit_is_granted, .timeout = 60) {
  Host host;
  const auto exchange = host.Ask("/a/", {"Bearer k"});
  cr_expect(!host.has_run() && !exchange->answer.has_value());
  host.decide({.outcome = QuotaOutcome::kGranted});
  cr_expect(host.has_run());
  cr_assert(exchange->answer.has_value());
  cr_expect(exchange->answer->status == 503);
  cr_expect(host.metrics.Print().find(
                "{account=\"acme\",outcome=\"admitted\"} 1\n") !=
            std::string::npos);
}

// Guards against work for a caller who has left while a permit was asked for.
Test(admit_request, a_caller_who_leaves_is_not_served, .timeout = 60) {
  Host host;
  const auto exchange = host.Ask("/a/", {"Bearer k"});
  cr_assert(exchange->on_abandoned != nullptr);
  std::exchange(exchange->on_abandoned, nullptr)();
  host.decide({.outcome = QuotaOutcome::kGranted});
  cr_expect(!host.has_run() && !exchange->answer.has_value());
  cr_expect(host.metrics.Print().find("outcome=\"caller_left\"} 1\n") !=
            std::string::npos);
}

}  // namespace
}  // namespace knapweedroad
