#include "knapweedroad/host/target_exchange.h"

#include <charconv>
#include <string>
#include <utility>

#include "knapweedroad/host/report_json.h"

namespace knapweedroad {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

std::string PathOf(const AttemptCall& call) {
  switch (call.work) {
    case AttemptWork::kSearch:
      return "/v1/search";
    case AttemptWork::kRecord:
      return "/v1/records/" + call.body;
    case AttemptWork::kLookup:
      break;
  }
  return "/v1/records/" + call.body + "/lookup";
}

uint64_t ReadRetryAfter(const HttpHeaders& headers) {
  const std::string_view text = FindHeader(headers, "Retry-After");
  uint64_t seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return static_cast<uint64_t>(Duration(std::chrono::seconds(seconds)).count());
}

RunOutcome ReadOutcome(const HttpHeaders& headers) {
  const std::string_view word = FindHeader(headers, "Knapweed-Outcome");
  if (word == ToString(RunOutcome::kNotRun)) {
    return RunOutcome::kNotRun;
  }
  return word == ToString(RunOutcome::kRun) ? RunOutcome::kRun
                                            : RunOutcome::kUnknown;
}

ExchangeEnd Answered(const AttemptCall& call,
                     HttpResponse response,
                     Duration latency) {
  const auto snapshot =
      SnapshotId::Parse(FindHeader(response.headers, "Knapweed-Snapshot"));
  ExchangeEnd end{.reply = {.end = AttemptEnd::kAnswered,
                            .outcome = RunOutcome::kRun,
                            .status = response.status,
                            .snapshot = snapshot.value_or(SnapshotId{}),
                            .body = std::move(response.body)},
                  .result = {.status = AttemptStatus::kOk, .latency = latency}};
  if (!snapshot && call.work == AttemptWork::kSearch) {
    end.reply.end = AttemptEnd::kBroken;
    end.reply.body.clear();
  }
  return end;
}

ExchangeEnd Refused(const HttpResponse& response) {
  const RunOutcome outcome = ReadOutcome(response.headers);
  ExchangeEnd end{.reply = {.end = AttemptEnd::kBroken,
                            .outcome = outcome,
                            .retry_after_ns = ReadRetryAfter(response.headers),
                            .status = response.status},
                  .result = {.status = AttemptStatus::kError}};
  if (response.status == kGatewayTimeout) {
    end.reply.end = AttemptEnd::kTimeout;
  }
  if (outcome != RunOutcome::kNotRun) {
    return end;
  }
  if (response.status == kUnavailable) {
    end.reply.end = AttemptEnd::kShed;
    end.result.status = AttemptStatus::kShed;
  } else if (response.status == kConflict) {
    end.reply.end = AttemptEnd::kNoSnapshot;
  }
  return end;
}

}  // namespace

HttpRequest TargetRequest(const AttemptCall& call, Duration remaining) {
  const auto left =
      std::chrono::floor<std::chrono::milliseconds>(remaining).count();
  HttpRequest request{
      .method = call.work == AttemptWork::kRecord ? "GET" : "POST",
      .path = PathOf(call)};
  request.headers = {{"Knapweed-Attempt-Id", call.attempt.str()},
                     {"Knapweed-Request-Id", call.request_id},
                     {"Knapweed-Deadline-Ms", std::to_string(left)},
                     {"Content-Type", "application/json"},
                     {"Host", "target"}};
  if (call.work == AttemptWork::kSearch) {
    request.headers["Knapweed-Snapshot"] = call.snapshot.ToString();
    request.body = call.body;
  } else if (call.work == AttemptWork::kLookup) {
    request.headers["Idempotency-Key"] = call.idempotency_key;
  }
  return request;
}

HttpRequest CancelRequest(const AttemptId& attempt) {
  return {.method = "POST",
          .path = "/v1/cancel",
          .headers = {{"Content-Type", "application/json"}, {"Host", "target"}},
          .body = "{\"attempt_id\": \"" + attempt.str() + "\"}"};
}

ExchangeEnd ReadTargetAnswer(const AttemptCall& call,
                             HttpResponse response,
                             Duration latency) {
  const std::string_view echoed =
      FindHeader(response.headers, "Knapweed-Attempt-Id");
  const auto state =
      ReadTargetState(FindHeader(response.headers, "Knapweed-Target-State"));
  const bool is_answer =
      response.status == kOk ||
      (response.status == kNotFound && call.work != AttemptWork::kSearch);
  ExchangeEnd end;
  if (echoed != call.attempt.str()) {
    end = {.reply = {.end = AttemptEnd::kBroken},
           .result = {.status = AttemptStatus::kError}};
  } else if (is_answer) {
    end = Answered(call, std::move(response), latency);
  } else {
    end = Refused(response);
  }
  end.result.state = state;
  return end;
}

ExchangeEnd ReadTargetFailure(const NetError& error) {
  ExchangeEnd end{.reply = {.end = AttemptEnd::kConnection,
                            .outcome = error.written ? RunOutcome::kUnknown
                                                     : RunOutcome::kNotRun}};
  if (error.kind == NetErrorKind::kTimeout) {
    end.reply.end = AttemptEnd::kTimeout;
  } else if (error.kind == NetErrorKind::kCancelled) {
    end.reply.end = AttemptEnd::kNotHolder;
  } else if (error.written && error.kind == NetErrorKind::kClosed) {
    end.reply.end = AttemptEnd::kTargetLost;
  }
  if (!error.written) {
    end.result.status = error.kind == NetErrorKind::kConnect
                            ? AttemptStatus::kConnectFailed
                            : AttemptStatus::kNotSent;
  } else if (error.kind == NetErrorKind::kTimeout) {
    end.result.status = AttemptStatus::kTimeout;
  } else {
    end.result.status = AttemptStatus::kConnectionLost;
  }
  return end;
}

bool MayRepeat(const NetError& error) {
  return error.reused_connection && error.kind == NetErrorKind::kClosed &&
         !error.written;
}

}  // namespace knapweedroad
