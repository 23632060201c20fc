#include "knapweedroad/host/attempt_outcome.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace knapweedroad {
namespace {

using nlohmann::json;

constexpr int kNotFound = 404;

FailureKind KindOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kRefused:
      return FailureKind::kRefusedByHolder;
    case AttemptEnd::kShed:
      return FailureKind::kShed;
    case AttemptEnd::kNoSnapshot:
      return FailureKind::kNoSnapshot;
    case AttemptEnd::kTimeout:
      return FailureKind::kTimeout;
    case AttemptEnd::kLeaving:
      return FailureKind::kLeaving;
    case AttemptEnd::kAnswered:
    case AttemptEnd::kBroken:
      return FailureKind::kInvalidReply;
    case AttemptEnd::kTargetLost:
      return FailureKind::kTargetLost;
    case AttemptEnd::kNotHolder:
    case AttemptEnd::kConnection:
    case AttemptEnd::kCancelled:
      break;
  }
  return FailureKind::kConnection;
}

TargetAttemptFailure FailureOf(const AttemptReply& reply) {
  TargetAttemptFailure failure{.outcome = reply.outcome,
                               .kind = KindOf(reply.end)};
  if (reply.retry_after_ns > 0) {
    failure.retry_after = Duration(reply.retry_after_ns);
  }
  return failure;
}

bool ReadHits(const json& body, SearchReply& reply) {
  if (!body.contains("hits") || !body["hits"].is_array()) {
    return false;
  }
  for (const json& hit : body["hits"]) {
    if (!hit.is_object() || !hit.contains("id") || !hit["id"].is_string() ||
        !hit.contains("score") || !hit["score"].is_number()) {
      return false;
    }
    reply.hits.push_back({.id = hit["id"].get<std::string>(),
                          .score = hit["score"].get<double>()});
  }
  return true;
}

}  // namespace

tl::expected<SearchReply, TargetAttemptFailure> ReadSubReply(
    const AttemptReply& reply) {
  if (reply.end != AttemptEnd::kAnswered) {
    return tl::unexpected(FailureOf(reply));
  }
  const json body = json::parse(reply.body, nullptr, false);
  SearchReply read{.snapshot = reply.snapshot};
  if (!body.is_object() || !body.contains("units") ||
      !body["units"].is_number_unsigned() || !ReadHits(body, read)) {
    return tl::unexpected(FailureOf(reply));
  }
  read.units = body["units"].get<uint32_t>();
  return read;
}

tl::expected<RecordReply, TargetAttemptFailure> ReadRecordReply(
    AttemptReply reply) {
  if (reply.end != AttemptEnd::kAnswered) {
    return tl::unexpected(FailureOf(reply));
  }
  return RecordReply{.snapshot = reply.snapshot,
                     .found = reply.status != kNotFound,
                     .body = std::move(reply.body)};
}

}  // namespace knapweedroad
