#include "knapweedroad/load/target_controls.h"

#include <algorithm>
#include <span>
#include <utility>

#include <nlohmann/json.hpp>

#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/name_pattern.h"

namespace knapweedroad {
namespace {

using nlohmann::json;

constexpr Duration kTimeout = std::chrono::seconds(5);
constexpr size_t kIdsInOneRequest = 5000;
constexpr int kStatusOk = 200;

// Returns the ids from index `first`, up to the limit of one request.
json Slice(const std::vector<std::string>& ids, size_t first) {
  if (first >= ids.size()) {
    return json::array();
  }
  const size_t count = std::min(kIdsInOneRequest, ids.size() - first);
  const auto slice = std::span(ids).subspan(first, count);
  return json(std::vector<std::string>(slice.begin(), slice.end()));
}

}  // namespace

TargetControls::TargetControls(Runtime& runtime,
                               const std::vector<Endpoint>& endpoints)
    : runtime(&runtime) {
  for (const Endpoint& endpoint : endpoints) {
    Control control;
    control.address = endpoint.ip + ":" + std::to_string(endpoint.port);
    control.client = std::make_unique<HttpClient>(
        runtime, HttpClientOptions{.endpoint = endpoint, .max_connections = 4});
    this->controls.push_back(std::move(control));
  }
}

TargetControls::~TargetControls() = default;

void TargetControls::Discover() {
  for (Control& control : this->controls) {
    const auto body =
        this->SendRequest(control, "GET", "/v1/stand-in/counts", "");
    if (!body) {
      continue;
    }
    if (const auto counts = ReadCounts(*body)) {
      control.target = counts->target;
      control.zone = counts->zone;
    }
  }
}

size_t TargetControls::SendFault(const std::string& fault,
                                 const TargetSelection& selection) {
  size_t matching = 0;
  size_t accepted_count = 0;
  for (Control& control : this->controls) {
    const bool matches =
        MatchesPatterns(selection.targets, control.target.str()) &&
        (!selection.zone || *selection.zone == control.zone);
    if (!matches || matching++ % selection.every != 0) {
      continue;
    }
    accepted_count +=
        this->SendRequest(control, "POST", "/v1/stand-in/fault", fault) ? 1 : 0;
  }
  if (accepted_count == 0) {
    this->failure_messages.push_back("no target accepted " + fault + " (" +
                                     selection.targets + ")");
  }
  return accepted_count;
}

std::vector<TargetCounts> TargetControls::Counts() {
  std::vector<TargetCounts> all;
  for (Control& control : this->controls) {
    const auto body =
        this->SendRequest(control, "GET", "/v1/stand-in/counts", "");
    if (!body) {
      continue;
    }
    if (auto counts = ReadCounts(*body)) {
      all.push_back(std::move(*counts));
    } else {
      this->failure_messages.push_back(control.address + ": " + counts.error());
    }
  }
  return all;
}

ExecutionCounts TargetControls::Executions(
    const std::vector<std::string>& requests,
    const std::vector<std::string>& keys) {
  ExecutionCounts counts;
  const size_t longest = std::max(requests.size(), keys.size());
  for (size_t first = 0; first < longest; first += kIdsInOneRequest) {
    const json request_body = {{"request_ids", Slice(requests, first)},
                               {"keys", Slice(keys, first)}};
    const std::string text = request_body.dump();
    for (Control& control : this->controls) {
      const auto body =
          this->SendRequest(control, "POST", "/v1/stand-in/executed", text);
      if (body) {
        this->AddExecutions(*body, counts);
      }
    }
  }
  return counts;
}

void TargetControls::AddExecutions(const std::string& body,
                                   ExecutionCounts& counts) {
  const json found = json::parse(body, nullptr, false);
  if (!found.is_object()) {
    this->failure_messages.emplace_back(
        "invalid JSON in an answer about executions");
    return;
  }
  for (const auto& [id, count] : found.at("request_ids").items()) {
    counts.requests[id] += count.get<uint64_t>();
  }
  for (const auto& [key, count] : found.at("keys").items()) {
    counts.keys[key] += count.get<uint64_t>();
  }
}

std::optional<std::string> TargetControls::SendRequest(
    Control& control,
    const char* method,
    const char* path,
    const std::string& body) {
  const auto answer =
      control.client->Send({.method = method, .path = path, .body = body},
                           Runtime::Now() + kTimeout);
  if (answer && answer->status == kStatusOk) {
    return answer->body;
  }
  const std::string reason = answer ? answer->body : answer.error().detail;
  this->failure_messages.push_back(control.address + path + ": " + reason);
  return std::nullopt;
}

}  // namespace knapweedroad
