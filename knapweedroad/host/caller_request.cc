#include "knapweedroad/host/caller_request.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

#include "knapweedroad/host/problem.h"
#include "knapweedroad/host/protocol_name.h"

namespace knapweedroad {
namespace {

constexpr std::string_view kFrontsPrefix = "/v1/fronts/";
constexpr std::string_view kQuerySuffix = "query";
constexpr std::string_view kRecordsPrefix = "records/";
constexpr std::string_view kLookupSuffix = "/lookup";
constexpr std::string_view kDefaultClass = "normal";

bool IsFirstSend(const HttpRequest& http) {
  return FindHeader(http.headers, "Knapweed-First-Send") == "true";
}

bool ConsumePrefix(std::string_view& text, std::string_view prefix) {
  if (!text.starts_with(prefix)) {
    return false;
  }
  text.remove_prefix(prefix.size());
  return true;
}

// What the path and the method ask for.
struct Route {
  FrontId front;
  AttemptWork work = AttemptWork::kSearch;
  std::string record_id;
};

tl::expected<Route, QueryRefusal> ReadRoute(const HttpRequest& http) {
  std::string_view path = http.path;
  if (!ConsumePrefix(path, kFrontsPrefix) ||
      path.find('/') == std::string_view::npos) {
    return tl::unexpected(BadRequest(
        404, "Not found", "no such path; ask /v1/fronts/FRONT/query"));
  }
  const size_t slash = path.find('/');
  Route route{.front = FrontId(path.substr(0, slash))};
  path.remove_prefix(slash + 1);
  std::string_view expected_method = "POST";
  if (path == kQuerySuffix) {
    route.work = AttemptWork::kSearch;
  } else if (ConsumePrefix(path, kRecordsPrefix)) {
    route.work = path.ends_with(kLookupSuffix) ? AttemptWork::kLookup
                                               : AttemptWork::kRecord;
    if (route.work == AttemptWork::kLookup) {
      path.remove_suffix(kLookupSuffix.size());
    } else {
      expected_method = "GET";
    }
    if (!IsName(path)) {
      return tl::unexpected(BadRequest(
          400, "Bad record id", "a record id is 1 to 64 of A-Za-z0-9._-"));
    }
    route.record_id = std::string(path);
  } else {
    return tl::unexpected(BadRequest(
        404, "Not found", "a front has /query, /records/ID and its /lookup"));
  }
  if (http.method != expected_method) {
    return tl::unexpected(
        BadRequest(405, "Method not allowed",
                   "this path takes " + std::string(expected_method)));
  }
  return route;
}

const FrontConfig* FindFront(const DeploymentConfig& configuration,
                             const FrontId& name) {
  const auto found = std::find_if(
      configuration.fronts.begin(), configuration.fronts.end(),
      [&](const FrontConfig& front) { return front.name == name; });
  return found == configuration.fronts.end() ? nullptr : &*found;
}

// A header that must be a name where it is there.
tl::expected<std::string, QueryRefusal> NameHeader(const HttpRequest& http,
                                                   std::string_view name) {
  const std::string_view value = FindHeader(http.headers, name);
  if (!value.empty() && !IsName(value)) {
    return tl::unexpected(BadRequest(
        400, "Bad header", std::string(name) + " is 1 to 64 of A-Za-z0-9._-"));
  }
  return std::string(value);
}

tl::expected<Duration, QueryRefusal> ReadTimeLeft(const HttpRequest& http,
                                                  const FrontConfig& front) {
  const std::string_view text =
      FindHeader(http.headers, "Knapweed-Deadline-Ms");
  if (text.empty()) {
    return front.default_deadline;
  }
  uint32_t milliseconds = 0;
  const auto [rest, error] =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (error != std::errc() || rest != text.data() + text.size() ||
      milliseconds == 0) {
    return tl::unexpected(
        BadRequest(400, "Bad header",
                   "Knapweed-Deadline-Ms is a whole number of milliseconds "
                   "above 0"));
  }
  return std::min<Duration>(std::chrono::milliseconds(milliseconds),
                            front.max_deadline);
}

tl::expected<void, QueryRefusal> ReadTenant(const HttpRequest& http,
                                            FrontRequest& request) {
  const auto tenant = NameHeader(http, "Knapweed-Tenant");
  const auto request_class = NameHeader(http, "Knapweed-Class");
  if (!tenant || !request_class) {
    return tl::unexpected(!tenant ? tenant.error() : request_class.error());
  }
  if (tenant->empty()) {
    return tl::unexpected(
        BadRequest(400, "Missing header", "Knapweed-Tenant is required"));
  }
  request.tenant = TenantId(*tenant);
  request.request_class =
      request_class->empty() ? std::string(kDefaultClass) : *request_class;
  const auto& tenants = request.front->tenants;
  if (tenants.empty()) {
    return {};
  }
  const auto known = std::find_if(
      tenants.begin(), tenants.end(),
      [&](const TenantConfig& each) { return each.name == request.tenant; });
  if (known == tenants.end()) {
    return tl::unexpected(BadRequest(
        404, "Unknown tenant",
        "front " + request.front->name.str() + " has no tenant " + *tenant));
  }
  request.tenant_weight = known->weight;
  const auto weight = known->class_weights.find(request.request_class);
  if (weight != known->class_weights.end()) {
    request.class_weight = weight->second;
  }
  return {};
}

tl::expected<void, QueryRefusal> ReadQueryBody(const HttpRequest& http,
                                               FrontRequest& request) {
  const auto body = nlohmann::json::parse(http.body, nullptr, false);
  if (!body.is_object() || !body.contains("query") ||
      !body["query"].is_string()) {
    return tl::unexpected(BadRequest(
        400, "Bad body", "the body is {\"query\": \"TEXT\", \"limit\": 10}"));
  }
  if (body.contains("limit")) {
    const auto& limit = body["limit"];
    if (!limit.is_number_unsigned() || limit.get<uint64_t>() == 0 ||
        limit.get<uint64_t>() > kMaxHits) {
      return tl::unexpected(
          BadRequest(400, "Bad body", "limit is a number from 1 to 1000"));
    }
    request.limit = limit.get<uint32_t>();
  }
  request.query_body = http.body;
  return {};
}

tl::expected<void, QueryRefusal> ReadWork(const HttpRequest& http,
                                          const Route& route,
                                          FrontRequest& request) {
  const bool is_search = request.front->kind == FrontKind::kSearch;
  if (is_search != (route.work == AttemptWork::kSearch)) {
    return tl::unexpected(BadRequest(
        404, "Not found",
        std::string("front ") + request.front->name.str() + " takes " +
            (is_search ? "queries only" : "record reads and lookups only")));
  }
  request.work = route.work;
  request.record_id = route.record_id;
  if (route.work == AttemptWork::kSearch) {
    return ReadQueryBody(http, request);
  }
  if (route.work == AttemptWork::kLookup) {
    const auto key = NameHeader(http, "Idempotency-Key");
    if (!key || key->empty()) {
      return tl::unexpected(BadRequest(
          400, "Missing header",
          "a lookup needs Idempotency-Key, 1 to 64 of A-Za-z0-9._-"));
    }
    request.idempotency_key = *key;
    request.first_send = IsFirstSend(http);
  }
  return {};
}

}  // namespace

RunOutcome OutcomeUnread(const HttpRequest& http) {
  const bool may_have_run =
      http.path.ends_with(kLookupSuffix) && !IsFirstSend(http);
  return may_have_run ? RunOutcome::kUnknown : RunOutcome::kNotRun;
}

std::string EchoedRequestId(const HttpRequest& http) {
  const std::string_view id = FindHeader(http.headers, "Knapweed-Request-Id");
  return IsName(id) ? std::string(id) : std::string();
}

tl::expected<FrontRequest, QueryRefusal> ReadCallerRequest(
    const HttpRequest& http,
    const std::shared_ptr<const DeploymentConfig>& configuration,
    TimePoint received,
    const std::function<std::string()>& make_id) {
  const auto route = ReadRoute(http);
  if (!route) {
    return tl::unexpected(route.error());
  }
  const FrontConfig* front = FindFront(*configuration, route->front);
  if (front == nullptr) {
    return tl::unexpected(BadRequest(
        404, "Unknown front", "there is no front " + route->front.str()));
  }
  FrontRequest request{
      .front = std::shared_ptr<const FrontConfig>(configuration, front),
      .start = received};
  const auto id = NameHeader(http, "Knapweed-Request-Id");
  const auto left = ReadTimeLeft(http, *front);
  if (!id || !left) {
    return tl::unexpected(!id ? id.error() : left.error());
  }
  request.request_id = id->empty() ? make_id() : *id;
  request.deadline = received + *left;
  if (auto tenant = ReadTenant(http, request); !tenant) {
    return tl::unexpected(tenant.error());
  }
  if (auto work = ReadWork(http, *route, request); !work) {
    return tl::unexpected(work.error());
  }
  return request;
}

}  // namespace knapweedroad
