#include "knapweedroad/host/caller_request.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

std::shared_ptr<const DeploymentConfig> Configuration() {
  FrontConfig search{.name = FrontId("archive"),
                     .kind = FrontKind::kSearch,
                     .default_deadline = 500ms,
                     .max_deadline = 2s,
                     .tenants = {{.name = TenantId("press"), .weight = 3}}};
  FrontConfig records{.name = FrontId("notices"), .kind = FrontKind::kRecords};
  DeploymentConfig all{.fronts = {search, records}};
  return std::make_shared<const DeploymentConfig>(all);
}

tl::expected<FrontRequest, QueryRefusal> Read(const HttpRequest& http) {
  return ReadCallerRequest(http, Configuration(), TimePoint(1s),
                           [] { return std::string("made-1"); });
}

HttpRequest Query() {
  return {.method = "POST",
          .path = "/v1/fronts/archive/query",
          .headers = {{"knapweed-tenant", "press"}},
          .body = "{\"query\": \"flood\", \"limit\": 3}"};
}

int StatusOf(const HttpRequest& http) {
  const auto request = Read(http);
  return request ? 200 : request.error().status;
}

Test(FrontRequest, ReadsAQueryWithItsDefaults) {
  const auto request = Read(Query());
  cr_assert(request.has_value());
  cr_assert(request->deadline == TimePoint(1s) + 500ms);
  cr_assert(request->limit == 3);
  cr_assert(request->tenant_weight == 3);
  cr_assert(request->request_id == "made-1");
}

Test(FrontRequest, ADeadlineIsAtMostTheFronts) {
  HttpRequest http = Query();
  http.headers["Knapweed-Deadline-Ms"] = "60000";
  cr_assert(Read(http)->deadline == TimePoint(1s) + 2s);
}

Test(FrontRequest, EveryMistakeHasItsStatusAndDidNotRun) {
  HttpRequest no_tenant = Query();
  no_tenant.headers.clear();
  HttpRequest stranger = Query();
  stranger.headers["Knapweed-Tenant"] = "nobody";
  HttpRequest no_front = Query();
  no_front.path = "/v1/fronts/nothing/query";
  HttpRequest wrong_method = Query();
  wrong_method.method = "GET";
  HttpRequest bad_body = Query();
  bad_body.body = "{\"query\": 7}";
  HttpRequest bad_deadline = Query();
  bad_deadline.headers["Knapweed-Deadline-Ms"] = "-1";
  cr_expect(StatusOf(no_tenant) == 400);
  cr_expect(StatusOf(stranger) == 404);
  cr_expect(StatusOf(no_front) == 404);
  cr_expect(StatusOf(wrong_method) == 405);
  cr_expect(StatusOf(bad_body) == 400);
  cr_expect(StatusOf(bad_deadline) == 400);
  cr_expect(Read(stranger).error().outcome == RunOutcome::kNotRun);
}

// A letter goes out twice: its lookup ran, the answer was lost, and a resend
// met a host that was just starting and called it "not run", so the caller took
// a new key.
Test(FrontRequest, AResentLookupRefusedUnreadMayHaveRunBefore) {
  HttpRequest lookup{.method = "POST",
                     .path = "/v1/fronts/notices/records/r1/lookup"};
  cr_expect(OutcomeUnread(lookup) == RunOutcome::kUnknown);
  lookup.headers["Knapweed-First-Send"] = "true";
  cr_expect(OutcomeUnread(lookup) == RunOutcome::kNotRun);
  cr_expect(OutcomeUnread(Query()) == RunOutcome::kNotRun);
}

Test(FrontRequest, ALookupNeedsItsKey) {
  HttpRequest lookup{.method = "POST",
                     .path = "/v1/fronts/notices/records/r1/lookup",
                     .headers = {{"Knapweed-Tenant", "press"}}};
  cr_expect(StatusOf(lookup) == 400);
  lookup.headers["Idempotency-Key"] = "k-1";
  cr_expect(StatusOf(lookup) == 200);
}

}  // namespace
}  // namespace knapweedroad
