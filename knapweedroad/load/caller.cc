#include "knapweedroad/load/caller.h"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/call_record.h"

namespace knapweedroad {
namespace {

constexpr size_t kMaxConnectionsPerHost = 2000;
// Time after the deadline during which a late answer is still accepted.
constexpr Duration kLateAnswerWait = std::chrono::seconds(1);

HttpRequest MakeRequest(const CallRecord& call) {
  HttpRequest request{.method = "POST"};
  request.path = "/v1/fronts/" + call.front.str();
  if (call.kind == CallKind::kQuery) {
    request.path += "/query";
    const nlohmann::json body = {{"query", call.subject},
                                 {"limit", call.limit}};
    request.body = body.dump();
    request.headers["Content-Type"] = "application/json";
  } else {
    request.path += "/records/" + call.subject;
  }
  if (call.kind == CallKind::kRecord) {
    request.method = "GET";
  }
  if (call.kind == CallKind::kLookup) {
    request.path += "/lookup";
    request.headers["Idempotency-Key"] = call.idempotency_key;
    if (call.is_first_send) {
      request.headers["Knapweed-First-Send"] = "true";
    }
  }
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline);
  request.headers["Knapweed-Tenant"] = call.tenant.str();
  request.headers["Knapweed-Class"] = call.request_class;
  request.headers["Knapweed-Deadline-Ms"] =
      std::to_string(milliseconds.count());
  request.headers["Knapweed-Request-Id"] = call.request_id;
  return request;
}

const char* NameOf(NetErrorKind kind) {
  switch (kind) {
    case NetErrorKind::kConnect:
      return "connect";
    case NetErrorKind::kTimeout:
      return "timeout";
    case NetErrorKind::kClosed:
      return "closed";
    case NetErrorKind::kMalformed:
      return "malformed";
    case NetErrorKind::kTooLarge:
      return "too large";
    case NetErrorKind::kCancelled:
      break;
  }
  return "left";
}

}  // namespace

Caller::Caller(Runtime& runtime, const std::vector<Endpoint>& hosts)
    : runtime(&runtime) {
  for (const Endpoint& endpoint : hosts) {
    this->hosts.push_back(std::make_unique<HttpClient>(
        runtime, HttpClientOptions{.endpoint = endpoint,
                                   .max_connections = kMaxConnectionsPerHost}));
  }
}

Caller::~Caller() = default;

void Caller::Send(CallRecord& call,
                  TimePoint due_at,
                  std::optional<Duration> cancel_after) {
  HttpClient& host = *this->hosts[this->next_host];
  this->next_host = (this->next_host + 1) % this->hosts.size();
  const auto cancel = std::make_shared<HttpCancel>();
  if (cancel_after) {
    this->runtime->Spawn([cancel, after = *cancel_after] {
      Runtime::SleepFor(after);
      cancel->Cancel();
    });
  }
  auto answer = host.Send(MakeRequest(call),
                          Runtime::Now() + call.deadline + kLateAnswerWait,
                          {.cancel = cancel.get()});
  call.latency = Runtime::Now() - due_at;
  if (answer) {
    call.status = answer->status;
    call.headers = std::move(answer->headers);
    call.body = std::move(answer->body);
  } else {
    call.status = 0;
    call.failure = NameOf(answer.error().kind);
  }
}

}  // namespace knapweedroad
