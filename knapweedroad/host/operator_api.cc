#include "knapweedroad/host/operator_api.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/parse_deployment.h"
#include "knapweedroad/config/print_deployment.h"
#include "knapweedroad/host/change_gateway.h"
#include "knapweedroad/host/operator_change.h"
#include "knapweedroad/host/problem.h"
#include "knapweedroad/host/protocol_name.h"
#include "knapweedroad/host/replica_path.h"
#include "knapweedroad/host/status_report.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using nlohmann::ordered_json;

constexpr std::string_view kConfigurationPath = "/v1/configuration";
constexpr std::string_view kStatusPath = "/v1/status";
constexpr std::string_view kZonesPrefix = "/v1/zones/";
constexpr std::string_view kReplicasPrefix = "/v1/replicas/";
constexpr std::string_view kOutSuffix = "/out";
constexpr std::string_view kInSuffix = "/in";
constexpr std::string_view kOperatorHeader = "Knapweed-Operator";
constexpr std::string_view kRequestIdHeader = "Knapweed-Request-Id";
constexpr std::string_view kBaseVersionHeader = "Knapweed-Base-Version";

std::string_view ToString(ChangeResult result) {
  switch (result) {
    case ChangeResult::kAccepted:
      return "accepted";
    case ChangeResult::kRejected:
      return "rejected";
    case ChangeResult::kUnknown:
      break;
  }
  return "unknown";
}

std::string_view ToString(ChangeReason reason) {
  switch (reason) {
    case ChangeReason::kBaseVersion:
      return "base_version";
    case ChangeReason::kFutureBase:
      return "future_base_version";
    case ChangeReason::kRequestIdReused:
      return "request_id_reused";
    case ChangeReason::kRefused:
      return "refused";
    case ChangeReason::kNoQuorum:
      return "no_quorum";
    case ChangeReason::kStale:
      return "stale";
    case ChangeReason::kNone:
      break;
  }
  return "";
}

std::string WhoWon(const ChangeCall& call, const ChangeOutcome& outcome) {
  const std::string contested =
      call.base_version ? "version " + std::to_string(*call.base_version + 1)
                        : std::string("the next version");
  const ChangeAuthor& winner = outcome.winner;
  if (winner.operator_id.empty()) {
    return contested + " was made by another change, too long ago to name";
  }
  return contested + " by " + winner.operator_id.str() + "/" +
         winner.request_id.str() + " won";
}

std::string Detail(const ChangeCall& call, const ChangeOutcome& outcome) {
  switch (outcome.reason) {
    case ChangeReason::kBaseVersion:
      return WhoWon(call, outcome);
    case ChangeReason::kFutureBase:
      return "the base version doesn't exist yet";
    case ChangeReason::kRequestIdReused:
      return "the request id was used for another change; nothing was run";
    case ChangeReason::kNoQuorum:
      return outcome.detail.empty()
                 ? "no majority of the control replicas answered in time; send "
                   "it again under the same request id"
                 : outcome.detail;
    case ChangeReason::kStale:
      return "its first answer is no longer kept, and it was not run again; "
             "read the configuration";
    case ChangeReason::kRefused:
    case ChangeReason::kNone:
      break;
  }
  return outcome.detail;
}

int StatusOf(const ChangeCall& call, const ChangeOutcome& outcome) {
  switch (outcome.result) {
    case ChangeResult::kAccepted:
      return 200;
    case ChangeResult::kUnknown:
      return 503;
    case ChangeResult::kRejected:
      break;
  }
  const auto* zone = std::get_if<ZoneSwitch>(&call.change);
  const bool no_such_zone =
      zone != nullptr && outcome.detail == NoSuchZone(zone->zone);
  return no_such_zone ? 404 : 409;
}

HttpResponse ChangeResponse(const ChangeCall& call,
                            const ChangeOutcome& outcome) {
  HttpResponse response{.status = StatusOf(call, outcome)};
  const std::string& request_id = call.author.request_id.str();
  ordered_json body = {{"result", ToString(outcome.result)},
                       {"request_id", request_id}};
  if (outcome.result != ChangeResult::kUnknown) {
    body["version"] = outcome.version;
  }
  if (outcome.result != ChangeResult::kAccepted) {
    body["reason"] = ToString(outcome.reason);
    body["detail"] = Detail(call, outcome);
  }
  if (!outcome.winner.operator_id.empty()) {
    body["winner"] = {{"operator", outcome.winner.operator_id.str()},
                      {"request_id", outcome.winner.request_id.str()}};
  }
  if (outcome.reason == ChangeReason::kNoQuorum) {
    response.headers["Retry-After"] = "1";
  }
  response.headers["Content-Type"] = "application/json";
  response.headers[std::string(kRequestIdHeader)] = request_id;
  response.body =
      body.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
  return response;
}

// Who asks, and from which version. The error is the answer to send.
tl::expected<ChangeCall, HttpResponse> ReadHeaders(const HttpRequest& request,
                                                   bool needs_base) {
  const std::string_view author = FindHeader(request.headers, kOperatorHeader);
  const std::string_view id = FindHeader(request.headers, kRequestIdHeader);
  const std::string_view base = FindHeader(request.headers, kBaseVersionHeader);
  const auto refuse = [&](std::string_view header, std::string_view wanted) {
    return tl::unexpected(ProblemResponse(
        BadRequest(400, "Bad header",
                   std::string(header) + " has to be " + std::string(wanted)),
        IsName(id) ? id : ""));
  };
  if (!IsName(author)) {
    return refuse(kOperatorHeader, "1 to 64 of A-Za-z0-9._-");
  }
  // Not made up where it is absent: who doesn't know it can't resend.
  if (!IsName(id)) {
    return refuse(kRequestIdHeader, "1 to 64 of A-Za-z0-9._-");
  }
  ChangeCall call{.author = {OperatorId(author), RequestId(id)}};
  if (base.empty() && !needs_base) {
    return call;
  }
  uint64_t version = 0;
  const auto [end, error] =
      std::from_chars(base.data(), base.data() + base.size(), version);
  if (error != std::errc() || end != base.data() + base.size()) {
    return refuse(kBaseVersionHeader, "the version the change was made from");
  }
  call.base_version = version;
  return call;
}

HttpResponse BadConfiguration(const std::vector<ConfigError>& errors,
                              const RequestId& request_id) {
  ordered_json list = ordered_json::array();
  for (const ConfigError& error : errors) {
    list.push_back({{"line", error.line},
                    {"column", error.column},
                    {"path", error.path},
                    {"message", error.message},
                    {"remedy", error.remedy}});
  }
  HttpResponse response =
      ProblemResponse(BadRequest(400, "Bad configuration",
                                 "faults: " + std::to_string(errors.size()) +
                                     "; nothing was applied"),
                      request_id.str());
  auto body = ordered_json::parse(response.body);
  body["errors"] = std::move(list);
  response.body =
      body.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
  return response;
}

HttpResponse WrongMethod(std::string_view allowed) {
  HttpResponse response =
      ProblemResponse(BadRequest(405, "Method not allowed",
                                 "this path takes " + std::string(allowed)),
                      "");
  response.headers["Allow"] = std::string(allowed);
  return response;
}

HttpResponse NotFound() {
  return ProblemResponse(
      BadRequest(404, "Not found",
                 "there are /v1/configuration, /v1/status, /v1/zones/NAME/out, "
                 "/v1/zones/NAME/in, /v1/replicas/add/HOST, "
                 "/v1/replicas/remove/HOST, /v1/replicas/replace/OLD/NEW and "
                 "/v1/replicas/give-up"),
      "");
}

}  // namespace

OperatorApi::OperatorApi(OperatorApiOptions options)
    : options(std::move(options)) {
  if (!this->options.now) {
    this->options.now = [] { return Runtime::Now(); };
  }
}

HttpResponse OperatorApi::Handle(const HttpRequest& request) {
  const std::string_view path = request.path;
  if (path == kConfigurationPath) {
    if (request.method == "GET") {
      return this->ReadConfiguration(request);
    }
    return request.method == "PUT" ? this->PutConfiguration(request)
                                   : WrongMethod("GET, PUT");
  }
  if (path == kStatusPath) {
    if (request.method != "GET") {
      return WrongMethod("GET");
    }
    return {.headers = {{"Content-Type", "application/json"}},
            .body = StatusJson(this->options.status())};
  }
  if (path.starts_with(kZonesPrefix)) {
    return this->SwitchZone(request, path.substr(kZonesPrefix.size()));
  }
  if (path.starts_with(kReplicasPrefix)) {
    return this->MoveReplica(request, path.substr(kReplicasPrefix.size()));
  }
  return NotFound();
}

HttpResponse OperatorApi::ReadConfiguration(const HttpRequest& request) {
  const auto agreed = this->options.gateway.Read(this->options.now() +
                                                 this->options.read_timeout);
  if (!agreed) {
    const std::string_view id = FindHeader(request.headers, kRequestIdHeader);
    return ProblemResponse(
        {.status = 503,
         .title = "No quorum",
         .detail = "no majority of the control replicas answered in time, so "
                   "the current version isn't known; status shows what is in "
                   "force here",
         .outcome = RunOutcome::kNotRun,
         .retry_after = std::chrono::seconds(1)},
        IsName(id) ? id : "");
  }
  // The text as it was applied: its keys keep their order.
  const std::string text = agreed->text.empty() ? "null" : agreed->text;
  return {.headers = {{"Content-Type", "application/json"}},
          .body = "{\"version\": " + std::to_string(agreed->version) +
                  ", \"configuration\": " + text + "}"};
}

HttpResponse OperatorApi::PutConfiguration(const HttpRequest& request) {
  auto call = ReadHeaders(request, /*needs_base=*/true);
  if (!call) {
    return std::move(call.error());
  }
  const auto deployment = ParseDeployment(request.body, "configuration");
  if (!deployment) {
    return BadConfiguration(deployment.error(), call->author.request_id);
  }
  call->change = WholeConfiguration{.text = PrintDeployment(*deployment)};
  return this->Change(*call);
}

HttpResponse OperatorApi::SwitchZone(const HttpRequest& request,
                                     std::string_view words) {
  const bool out = words.ends_with(kOutSuffix);
  if (!out && !words.ends_with(kInSuffix)) {
    return NotFound();
  }
  if (request.method != "POST") {
    return WrongMethod("POST");
  }
  words.remove_suffix(out ? kOutSuffix.size() : kInSuffix.size());
  if (!IsName(words)) {
    return NotFound();
  }
  auto call = ReadHeaders(request, /*needs_base=*/false);
  if (!call) {
    return std::move(call.error());
  }
  call->change = ZoneSwitch{.zone = ZoneId(words), .out = out};
  return this->Change(*call);
}

HttpResponse OperatorApi::MoveReplica(const HttpRequest& request,
                                      std::string_view words) {
  auto move = ParseReplicaPath(words);
  if (!move || !this->options.move) {
    return NotFound();
  }
  if (request.method != "POST") {
    return WrongMethod("POST");
  }
  const auto call = ReadHeaders(request, /*needs_base=*/false);
  if (!call) {
    return call.error();
  }
  move->author = call->author;
  const ChangeOutcome outcome = this->options.move(
      *move, this->options.now() + this->options.change_timeout);
  LogLine("replica_move")
      .Add("move", words)
      .Add("operator", call->author.operator_id)
      .Add("request_id", call->author.request_id)
      .Add("result", ToString(outcome.result))
      .Add("detail", outcome.detail)
      .Info();
  return ChangeResponse(*call, outcome);
}

HttpResponse OperatorApi::Change(const ChangeCall& call) {
  const ChangeOutcome outcome = this->options.gateway.Change(
      call, this->options.now() + this->options.change_timeout);
  LogLine("configuration_change")
      .Add("operator", call.author.operator_id)
      .Add("request_id", call.author.request_id)
      .Add("result", ToString(outcome.result))
      .Add("reason", ToString(outcome.reason))
      .Add("version", outcome.version)
      .Info();
  return ChangeResponse(call, outcome);
}

}  // namespace knapweedroad
