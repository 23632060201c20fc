#include "knapweedroad/testing/searcher_announcer.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/searcher_protocol.h"

namespace knapweedroad {
namespace {

constexpr Duration kAttemptTimeout = std::chrono::milliseconds(200);
constexpr int kStatusTaken = 200;

}  // namespace

struct SearcherAnnouncer::State : std::enable_shared_from_this<State> {
  State(Runtime& runtime, SearcherAnnouncerOptions options)
      : runtime(runtime), options(std::move(options)) {
    for (const Endpoint& host : this->options.host_addresses) {
      this->clients.push_back(std::make_unique<HttpClient>(
          runtime, HttpClientOptions{.endpoint = host, .max_connections = 2}));
    }
  }

  void Loop();
  void SendToAnyHost();
  bool SendTo(HttpClient& client);

  Runtime& runtime;
  SearcherAnnouncerOptions options;
  std::vector<std::unique_ptr<HttpClient>> clients;
  size_t next_host = 0;
  TimePoint paused_until{};
  bool stopped = false;
};

void SearcherAnnouncer::State::Loop() {
  while (!this->stopped) {
    if (Runtime::Now() >= this->paused_until) {
      this->SendToAnyHost();
    }
    Runtime::SleepFor(this->options.interval);
  }
}

void SearcherAnnouncer::State::SendToAnyHost() {
  for (size_t tried = 0; tried < this->clients.size(); ++tried) {
    const size_t host = this->next_host;
    this->next_host = (host + 1) % this->clients.size();
    if (this->stopped || this->SendTo(*this->clients[host])) {
      return;
    }
  }
}

bool SearcherAnnouncer::State::SendTo(HttpClient& client) {
  HttpRequest request{.method = "POST", .path = "/v1/targets/report"};
  request.headers["Content-Type"] = "application/json";
  request.body = WriteReport(this->options.make_report());
  const auto answer = client.Send(request, Runtime::Now() + kAttemptTimeout);
  if (answer && answer->status == kStatusTaken) {
    this->options.on_taken();
    return true;
  }
  if (answer) {
    LogLine("report_refused")
        .Add("status", answer->status)
        .Add("body", answer->body)
        .Warning();
  } else {
    client.DropIdle();
  }
  return false;
}

SearcherAnnouncer::SearcherAnnouncer(Runtime& runtime,
                                     SearcherAnnouncerOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

SearcherAnnouncer::~SearcherAnnouncer() {
  this->state->stopped = true;
}

void SearcherAnnouncer::Start() {
  this->state->runtime.Spawn([state = this->state] { state->Loop(); });
}

void SearcherAnnouncer::ReportNow() {
  this->state->runtime.Spawn([state = this->state] { state->SendToAnyHost(); });
}

void SearcherAnnouncer::Pause(Duration duration) {
  this->state->paused_until = Runtime::Now() + duration;
}

}  // namespace knapweedroad
