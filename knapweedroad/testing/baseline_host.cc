#include "knapweedroad/testing/baseline_host.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/baseline_answer.h"

namespace knapweedroad {
namespace {

using nlohmann::json;

constexpr Duration kDefaultDeadline = std::chrono::seconds(1);

struct Replica {
  Endpoint address;
  std::vector<SnapshotId> holds;
  bool leaving = false;
  std::unique_ptr<HttpClient> client;
};

using ReplicasByTarget = std::map<std::string, Replica>;

std::vector<std::string_view> SplitPath(std::string_view path) {
  std::vector<std::string_view> parts;
  while (!path.empty()) {
    path.remove_prefix(1);
    const size_t slash = std::min(path.find('/'), path.size());
    parts.push_back(path.substr(0, slash));
    path.remove_prefix(slash);
  }
  return parts;
}

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  if (colon == std::string::npos ||
      std::from_chars(text.data() + colon + 1, end, port).ptr != end) {
    return std::nullopt;
  }
  return Endpoint{.ip = text.substr(0, colon), .port = port};
}

TimePoint DeadlineOf(const HttpRequest& request) {
  const std::string_view text =
      FindHeader(request.headers, "Knapweed-Deadline-Ms");
  int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  if (text.empty() ||
      std::from_chars(text.data(), end, milliseconds).ptr != end) {
    return Runtime::Now() + kDefaultDeadline;
  }
  return Runtime::Now() + std::chrono::milliseconds(milliseconds);
}

}  // namespace

struct BaselineHost::State : std::enable_shared_from_this<State> {
  State(Runtime& runtime, BaselineHostOptions options)
      : runtime(runtime),
        options(std::move(options)),
        random(this->options.seed) {}

  HttpResponse OnReport(const HttpRequest& request);
  HttpResponse OnCall(const HttpRequest& request);
  HttpResponse Query(const FrontConfig& front, const HttpRequest& request);
  HttpResponse Record(const FrontConfig& front,
                      const HttpRequest& request,
                      const std::vector<std::string_view>& path);
  std::vector<BaselinePart> Scatter(const FrontConfig& front,
                                    const HttpRequest& request,
                                    const SnapshotId& snapshot);
  BaselinePart AskService(const ServiceId& service,
                          HttpRequest request,
                          TimePoint deadline);
  std::optional<SnapshotId> NewestSnapshot(const FrontConfig& front) const;
  Replica* PickReplica(const ServiceId& service, const SnapshotId* snapshot);
  std::string NextAttempt() {
    return "baseline-" + std::to_string(++this->attempts);
  }

  Runtime& runtime;
  BaselineHostOptions options;
  std::mt19937_64 random;
  std::map<ServiceId, ReplicasByTarget> services;
  std::unique_ptr<HttpServer> callers;
  std::unique_ptr<HttpServer> targets;
  uint64_t attempts = 0;
};

HttpResponse BaselineHost::State::OnReport(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return {.status = 400};
  }
  const auto endpoint = ParseEndpoint(body.at("address"));
  if (!endpoint) {
    return {.status = 400};
  }
  const ServiceId service(body.at("service").get<std::string>());
  Replica& replica = this->services[service][body.at("target")];
  if (replica.client == nullptr || replica.address != *endpoint) {
    replica.address = *endpoint;
    replica.client = std::make_unique<HttpClient>(
        this->runtime, HttpClientOptions{.endpoint = *endpoint});
  }
  replica.leaving = body.at("state") == "leaving";
  replica.holds.clear();
  for (const json& held : body.at("holds")) {
    replica.holds.push_back(
        SnapshotId::Parse(held.get<std::string>()).value_or(SnapshotId()));
  }
  return {.body = R"({"accepted": true})"};
}

HttpResponse BaselineHost::State::OnCall(const HttpRequest& request) {
  const auto path = SplitPath(request.path);
  constexpr size_t kFrontPart = 2;
  constexpr size_t kWhatPart = 3;
  if (path.size() <= kWhatPart) {
    return Problem(request, 404, "Not found", "not_run");
  }
  for (const FrontConfig& front : this->options.deployment.fronts) {
    if (front.name.str() == path[kFrontPart]) {
      return path[kWhatPart] == "query" ? this->Query(front, request)
                                        : this->Record(front, request, path);
    }
  }
  return Problem(request, 404, "Not found", "not_run");
}

std::optional<SnapshotId> BaselineHost::State::NewestSnapshot(
    const FrontConfig& front) const {
  std::map<SnapshotId, size_t> services_holding;
  for (const ServiceConfig& service : front.services) {
    const auto replicas = this->services.find(service.name);
    if (replicas == this->services.end()) {
      continue;
    }
    std::vector<SnapshotId> held;
    for (const auto& [name, replica] : replicas->second) {
      held.insert(held.end(), replica.holds.begin(), replica.holds.end());
    }
    std::sort(held.begin(), held.end());
    held.erase(std::unique(held.begin(), held.end()), held.end());
    for (const SnapshotId& snapshot : held) {
      ++services_holding[snapshot];
    }
  }
  std::optional<SnapshotId> best;
  size_t most = 0;
  for (const auto& [snapshot, count] : services_holding) {
    if (count >= most) {
      most = count;
      best = snapshot;
    }
  }
  return best;
}

Replica* BaselineHost::State::PickReplica(const ServiceId& service,
                                          const SnapshotId* snapshot) {
  std::vector<Replica*> fit;
  for (auto& [name, replica] : this->services[service]) {
    const bool holds = snapshot == nullptr ||
                       std::find(replica.holds.begin(), replica.holds.end(),
                                 *snapshot) != replica.holds.end();
    if (holds && !replica.leaving) {
      fit.push_back(&replica);
    }
  }
  if (fit.empty()) {
    return nullptr;
  }
  return fit[this->random() % fit.size()];
}

BaselinePart BaselineHost::State::AskService(const ServiceId& service,
                                             HttpRequest request,
                                             TimePoint deadline) {
  const auto snapshot =
      SnapshotId::Parse(FindHeader(request.headers, "Knapweed-Snapshot"));
  Replica* replica = this->PickReplica(service, &*snapshot);
  if (replica == nullptr) {
    return {};
  }
  const std::string attempt = this->NextAttempt();
  request.headers["Knapweed-Attempt-Id"] = attempt;
  const auto response = replica->client->Send(request, deadline);
  return response ? ReadPart(*response, attempt) : BaselinePart{};
}

std::vector<BaselinePart> BaselineHost::State::Scatter(
    const FrontConfig& front,
    const HttpRequest& request,
    const SnapshotId& snapshot) {
  const TimePoint deadline = DeadlineOf(request);
  HttpRequest sub{.method = "POST", .path = "/v1/search"};
  sub.body = request.body;
  sub.headers["Knapweed-Request-Id"] = IdOf(request);
  sub.headers["Knapweed-Deadline-Ms"] =
      std::string(FindHeader(request.headers, "Knapweed-Deadline-Ms"));
  sub.headers["Knapweed-Snapshot"] = snapshot.ToString();
  std::vector<BaselinePart> parts(front.services.size());
  size_t waiting = parts.size();
  FiberEvent all;
  for (size_t index = 0; index < parts.size(); ++index) {
    this->runtime.Spawn([&, index] {
      parts[index] =
          this->AskService(front.services[index].name, sub, deadline);
      if (--waiting == 0) {
        all.Set();
      }
    });
  }
  all.Wait();
  return parts;
}

HttpResponse BaselineHost::State::Query(const FrontConfig& front,
                                        const HttpRequest& request) {
  const auto snapshot = this->NewestSnapshot(front);
  if (!snapshot) {
    return Problem(request, 503, "No target", "not_run");
  }
  const auto generation =
      std::find_if(front.generations.begin(), front.generations.end(),
                   [&](const GenerationConfig& known) {
                     return known.number == snapshot->generation;
                   });
  if (generation == front.generations.end()) {
    return Problem(request, 503, "Unknown generation", "not_run");
  }
  const Gathered gathered =
      Gather(front, *generation, this->Scatter(front, request, *snapshot));
  return WriteAnswer(request, front, *snapshot, gathered);
}

HttpResponse BaselineHost::State::Record(
    const FrontConfig& front,
    const HttpRequest& request,
    const std::vector<std::string_view>& path) {
  Replica* replica = this->PickReplica(front.services.front().name, nullptr);
  if (replica == nullptr) {
    return Problem(request, 503, "No target", "not_run");
  }
  constexpr size_t kRecordPart = 4;
  HttpRequest sub{.method = request.method, .path = "/v1"};
  for (size_t part = kRecordPart - 1; part < path.size(); ++part) {
    sub.path += "/" + std::string(path[part]);
  }
  sub.headers = request.headers;
  const std::string attempt = this->NextAttempt();
  sub.headers["Knapweed-Attempt-Id"] = attempt;
  const auto response = replica->client->Send(sub, DeadlineOf(request));
  if (!response || response->status != 200 ||
      FindHeader(response->headers, "Knapweed-Attempt-Id") != attempt) {
    return Problem(request, 503, "Target failed", "unknown");
  }
  const std::string snapshot(
      FindHeader(response->headers, "Knapweed-Snapshot"));
  const json body = {{"request_id", IdOf(request)},
                     {"front", front.name.str()},
                     {"snapshot", snapshot},
                     {"record", json::parse(response->body)}};
  HttpResponse answer{.body = body.dump()};
  answer.headers["Knapweed-Request-Id"] = IdOf(request);
  answer.headers["Knapweed-Snapshot"] = snapshot;
  answer.headers["Knapweed-Outcome"] = "run";
  return answer;
}

BaselineHost::BaselineHost(Runtime& runtime, BaselineHostOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

BaselineHost::~BaselineHost() = default;

tl::expected<BaselineHostPorts, NetError> BaselineHost::Start() {
  State& own = *this->state;
  own.callers = std::make_unique<HttpServer>(
      own.runtime,
      HttpServerOptions{
          .endpoint = own.options.caller_address,
          .handler = [&own](const HttpRequest& request, HttpExchange&) {
            return own.OnCall(request);
          }});
  own.targets = std::make_unique<HttpServer>(
      own.runtime,
      HttpServerOptions{
          .endpoint = own.options.target_address,
          .handler = [&own](const HttpRequest& request, HttpExchange&) {
            return own.OnReport(request);
          }});
  const auto caller = own.callers->Start();
  if (!caller) {
    return tl::unexpected(caller.error());
  }
  const auto target = own.targets->Start();
  if (!target) {
    return tl::unexpected(target.error());
  }
  return BaselineHostPorts{.caller = *caller, .target = *target};
}

}  // namespace knapweedroad
