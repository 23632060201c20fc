#include "knapweedroad/testing/configuration_history.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using nlohmann::json;

constexpr Duration kDonePoll = std::chrono::milliseconds(10);
constexpr const char* kPath = "/v1/configuration";

int64_t Nanoseconds(TimePoint time) {
  return time.time_since_epoch().count();
}

// Fills in what an answer to a change tells; an answer that tells nothing for
// certain leaves the operation open.
void ReadChangeAnswer(const json& body, HistoryOperation& operation) {
  const std::string result = body.value("result", "");
  if (result == "accepted") {
    operation.result = HistoryResult::kAccepted;
  } else if (result == "rejected") {
    operation.result = HistoryResult::kRejected;
    const json winner = body.value("winner", json::object());
    operation.winner_operator = winner.value("operator", "");
    operation.winner_request = winner.value("request_id", "");
  }
  operation.version = body.value("version", uint64_t{0});
}

void ReadReadAnswer(const json& body, HistoryOperation& operation) {
  operation.result = HistoryResult::kAccepted;
  operation.version = body.value("version", uint64_t{0});
  const json configuration = body.value("configuration", json());
  operation.text = configuration.is_object() ? configuration.value("name", "")
                                             : std::string();
}

}  // namespace

struct ConfigurationHistory::State {
  State(Runtime& runtime, ConfigurationHistoryOptions given)
      : runtime(runtime), options(std::move(given)), random(options.seed) {
    for (const Endpoint& endpoint : this->options.operators) {
      this->hosts.push_back(std::make_unique<HttpClient>(
          runtime, HttpClientOptions{.endpoint = endpoint}));
    }
  }

  int64_t Pick(int64_t from, int64_t to) {
    return std::uniform_int_distribution<int64_t>(from, to)(this->random);
  }

  // Sends the request to some host; a JSON object or nothing.
  std::optional<json> Call(const HttpRequest& request) {
    const auto last = static_cast<int64_t>(this->hosts.size()) - 1;
    HttpClient& host = *this->hosts.at(static_cast<size_t>(Pick(0, last)));
    const auto response =
        host.Send(request, Runtime::Now() + this->options.answer_timeout);
    if (!response.has_value()) {
      return std::nullopt;
    }
    json body = json::parse(response->body, nullptr, false);
    return body.is_object() ? std::optional(std::move(body)) : std::nullopt;
  }

  HistoryOperation Read() {
    HistoryOperation operation{.start_ns = Nanoseconds(Runtime::Now())};
    const auto body =
        this->Call({.path = kPath, .headers = {{"Host", "history"}}});
    operation.end_ns = Nanoseconds(Runtime::Now());
    if (body.has_value() && body->contains("version")) {
      ReadReadAnswer(*body, operation);
    }
    return operation;
  }

  HistoryOperation Change(const HistoryOperation& asked) {
    HistoryOperation operation = asked;
    json deployment = this->deployment;
    deployment["name"] = *asked.text;
    operation.start_ns = Nanoseconds(Runtime::Now());
    const auto body =
        this->Call({.method = "PUT",
                    .path = kPath,
                    .headers = {{"Host", "history"},
                                {"Content-Type", "application/json"},
                                {"Knapweed-Operator", asked.operator_id},
                                {"Knapweed-Request-Id", asked.request_id},
                                {"Knapweed-Base-Version",
                                 std::to_string(*asked.base_version)}},
                    .body = deployment.dump()});
    operation.end_ns = Nanoseconds(Runtime::Now());
    if (body.has_value()) {
      ReadChangeAnswer(*body, operation);
    }
    return operation;
  }

  // Notes the operation; the newest version that the client knows now.
  uint64_t Note(const HistoryOperation& operation, uint64_t known) {
    this->history.push_back(operation);
    return operation.result == HistoryResult::kOpen
               ? known
               : std::max(known, operation.version);
  }

  void RunClient(size_t number) {
    const std::string name =
        "h" + std::to_string(this->run) + "-" + std::to_string(number);
    uint64_t known = this->first_version;
    for (int change = 1; Runtime::Now() < this->end; ++change) {
      if (this->Pick(0, 1) == 0) {
        known = this->Note(this->Read(), known);
      } else {
        known = this->ChangeUntilAnswered(name, change, known);
      }
      Runtime::SleepFor(Duration(this->Pick(0, this->options.pause.count())));
    }
    --this->running;
  }

  uint64_t ChangeUntilAnswered(const std::string& client,
                               int number,
                               uint64_t known) {
    const std::string id = "r-" + std::to_string(number);
    const HistoryOperation asked{.kind = HistoryKind::kChange,
                                 .operator_id = client,
                                 .request_id = id,
                                 .base_version = known,
                                 .text = client + "-" + id};
    for (int send = 0; send < this->options.sends; ++send) {
      const HistoryOperation answered = this->Change(asked);
      known = this->Note(answered, known);
      const bool is_answered = answered.result != HistoryResult::kOpen;
      // Now and then an answered one, too: it gets its first answer again.
      if (is_answered && this->Pick(0, 3) > 0) {
        break;
      }
    }
    return known;
  }

  // The checker's history begins at version 0 with an empty text.
  void CountFromFirstVersion() {
    for (HistoryOperation& operation : this->history) {
      if (operation.base_version.has_value()) {
        *operation.base_version -= this->first_version;
      }
      if (operation.result == HistoryResult::kOpen) {
        continue;
      }
      operation.version -= std::min(operation.version, this->first_version);
      if (operation.kind == HistoryKind::kRead && operation.version == 0) {
        operation.text = "";
      }
    }
  }

  Runtime& runtime;
  ConfigurationHistoryOptions options;
  std::mt19937 random;
  std::vector<std::unique_ptr<HttpClient>> hosts;
  json deployment;
  // Tells the names of this run from those of another against the same hosts.
  int64_t run = 0;
  uint64_t first_version = 0;
  TimePoint end;
  size_t running = 0;
  std::vector<HistoryOperation> history;
};

ConfigurationHistory::ConfigurationHistory(Runtime& runtime,
                                           ConfigurationHistoryOptions options)
    : state(std::make_unique<State>(runtime, std::move(options))) {}

ConfigurationHistory::~ConfigurationHistory() = default;

tl::expected<std::vector<HistoryOperation>, std::string>
ConfigurationHistory::Run() {
  State& self = *this->state;
  self.deployment = json::parse(self.options.deployment, nullptr,
                                /*allow_exceptions=*/false,
                                /*ignore_comments=*/true);
  if (!self.deployment.is_object() || self.hosts.empty()) {
    return tl::unexpected(std::string("no deployment or no host was given"));
  }
  const HistoryOperation first = self.Read();
  if (first.result == HistoryResult::kOpen) {
    return tl::unexpected(std::string("no host answered the first read"));
  }
  self.first_version = first.version;
  self.run = first.end_ns;
  self.end = Runtime::Now() + self.options.duration;
  self.running = self.options.clients;
  for (size_t client = 0; client < self.options.clients; ++client) {
    self.runtime.Spawn([&self, client] { self.RunClient(client); });
  }
  while (self.running > 0) {
    Runtime::SleepFor(kDonePoll);
  }
  self.CountFromFirstVersion();
  return self.history;
}

}  // namespace knapweedroad
