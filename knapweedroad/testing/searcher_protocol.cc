#include "knapweedroad/testing/searcher_protocol.h"

#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

namespace knapweedroad {
namespace {

using nlohmann::json;

constexpr std::string_view kSearchPath = "/v1/search";
constexpr std::string_view kRecordsPath = "/v1/records/";
constexpr std::string_view kLookupSuffix = "/lookup";

HttpResponse Problem(int status,
                     std::optional<RunOutcome> outcome,
                     const std::string& detail) {
  HttpResponse response{.status = status};
  response.headers["Content-Type"] = "application/problem+json";
  json body = {{"status", status}, {"detail", detail}};
  if (outcome) {
    response.headers["Knapweed-Outcome"] = std::string(ToString(*outcome));
    body["outcome"] = ToString(*outcome);
  }
  response.body = body.dump();
  return response;
}

HttpResponse Malformed(const std::string& detail) {
  return Problem(400, RunOutcome::kNotRun, detail);
}

// False where the header is there and no number.
bool ReadRemaining(const HttpRequest& request, WorkRequest& work) {
  const std::string_view text =
      FindHeader(request.headers, "Knapweed-Deadline-Ms");
  if (text.empty()) {
    return true;
  }
  double milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, milliseconds);
  if (error != std::errc() || rest != end) {
    return false;
  }
  constexpr double kNanosecondsInOne = 1e6;
  work.remaining =
      Duration(static_cast<Duration::rep>(milliseconds * kNanosecondsInOne));
  return true;
}

tl::expected<void, HttpResponse> ReadSearch(const HttpRequest& request,
                                            WorkRequest& work) {
  work.kind = WorkKind::kSearch;
  const auto snapshot =
      SnapshotId::Parse(FindHeader(request.headers, "Knapweed-Snapshot"));
  if (!snapshot) {
    return tl::unexpected(Malformed(snapshot.error()));
  }
  work.snapshot = *snapshot;
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("query") ||
      !body["query"].is_string()) {
    return tl::unexpected(Malformed("the body has no query"));
  }
  work.subject = body["query"].get<std::string>();
  return {};
}

tl::expected<void, HttpResponse> ReadRecord(const HttpRequest& request,
                                            WorkRequest& work) {
  std::string_view record = request.path;
  record.remove_prefix(kRecordsPath.size());
  work.kind = WorkKind::kRecord;
  if (request.method == "POST" && record.ends_with(kLookupSuffix)) {
    work.kind = WorkKind::kLookup;
    record.remove_suffix(kLookupSuffix.size());
    work.idempotency_key = FindHeader(request.headers, "Idempotency-Key");
  }
  work.subject = std::string(record);
  return {};
}

}  // namespace

tl::expected<WorkRequest, HttpResponse> ReadWork(const HttpRequest& request) {
  WorkRequest work;
  work.attempt_id = FindHeader(request.headers, "Knapweed-Attempt-Id");
  work.request_id = FindHeader(request.headers, "Knapweed-Request-Id");
  if (work.attempt_id.empty()) {
    return tl::unexpected(Malformed("Knapweed-Attempt-Id is missing"));
  }
  if (!ReadRemaining(request, work)) {
    return tl::unexpected(Malformed("Knapweed-Deadline-Ms is no number"));
  }
  tl::expected<void, HttpResponse> read;
  if (request.path == kSearchPath) {
    read = ReadSearch(request, work);
  } else if (request.path.starts_with(kRecordsPath)) {
    read = ReadRecord(request, work);
  } else {
    read = tl::unexpected(
        Problem(404, RunOutcome::kNotRun, "no such path: " + request.path));
  }
  if (!read) {
    return tl::unexpected(std::move(read.error()));
  }
  return work;
}

std::string ReadCancel(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("attempt_id") ||
      !body["attempt_id"].is_string()) {
    return "";
  }
  return body["attempt_id"].get<std::string>();
}

HttpResponse WriteAnswer(const WorkAnswer& answer) {
  HttpResponse response;
  if (answer.kind != WorkKind::kSearch && !RecordExists(answer.record)) {
    response = Problem(404, RunOutcome::kRun, "no such record");
  } else if (answer.kind != WorkKind::kSearch) {
    const json body = {{"id", answer.record}, {"text", answer.record_text}};
    response.body = body.dump();
  } else {
    json hits = json::array();
    for (const IndexHit& hit : answer.hits) {
      hits.push_back({{"id", hit.id}, {"score", hit.score}});
    }
    const json body = {{"units", answer.units}, {"hits", std::move(hits)}};
    response.body = body.dump();
  }
  response.headers["Knapweed-Attempt-Id"] = answer.attempt_id;
  response.headers["Knapweed-Snapshot"] = answer.snapshot.ToString();
  return response;
}

HttpResponse WriteRefusal(const WorkRefusal& refusal,
                          const std::string& attempt_id) {
  HttpResponse response =
      Problem(refusal.status, refusal.outcome, refusal.detail);
  response.headers["Knapweed-Attempt-Id"] = attempt_id;
  return response;
}

std::string WriteReport(const TargetReport& report) {
  json holds = json::array();
  for (const SnapshotId& snapshot : report.snapshots) {
    holds.push_back(snapshot.ToString());
  }
  const json body = {
      {"target", report.target.str()},   {"front", report.front.str()},
      {"service", report.service.str()}, {"zone", report.zone.str()},
      {"address", report.address},       {"incarnation", report.incarnation},
      {"sequence", report.sequence},     {"state", ToString(report.state)},
      {"holds", std::move(holds)},       {"in_flight", report.in_flight},
      {"queued", report.queued}};
  return body.dump();
}

std::string_view ToString(TargetState state) {
  switch (state) {
    case TargetState::kCold:
      return "cold";
    case TargetState::kLeaving:
      return "leaving";
    case TargetState::kReady:
      break;
  }
  return "ready";
}

}  // namespace knapweedroad
