#include "knapweedroad/testing/answer_check.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/testing/history_checker.h"
#include "knapweedroad/testing/index_truth.h"

namespace knapweedroad {
namespace {

using nlohmann::json;

constexpr double kCoverageTolerance = 1e-9;
constexpr double kCoverageSteps = 10000.0;
constexpr int kStatusOverShare = 429;
constexpr int kStatusUnavailable = 503;

struct QueryAnswer {
  std::string request_id;
  std::string front;
  SnapshotId snapshot;
  double coverage = 0.0;
  uint64_t units_answered = 0;
  uint64_t units_total = 0;
  std::set<ServiceId> missing;
  std::vector<IndexHit> hits;
};

AnswerFault Malformed(std::string detail) {
  return {.kind = PromiseKind::kMalformed, .detail = std::move(detail)};
}

// Throws json::exception where a field is missing or of another type.
QueryAnswer ReadQueryAnswer(const json& body) {
  QueryAnswer answer;
  answer.request_id = body.at("request_id").get<std::string>();
  answer.front = body.at("front").get<std::string>();
  const auto snapshot =
      SnapshotId::Parse(body.at("snapshot").get<std::string>());
  answer.snapshot = snapshot.value_or(SnapshotId());
  answer.coverage = body.at("coverage").get<double>();
  answer.units_answered = body.at("units_answered").get<uint64_t>();
  answer.units_total = body.at("units_total").get<uint64_t>();
  for (const json& service : body.at("missing_services")) {
    answer.missing.emplace(service.get<std::string>());
  }
  for (const json& hit : body.at("hits")) {
    answer.hits.push_back({.id = hit.at("id").get<std::string>(),
                           .score = hit.at("score").get<double>()});
  }
  return answer;
}

std::string CoverageHeader(double coverage) {
  char text[16];
  const double cut = std::floor(coverage * kCoverageSteps + kCoverageTolerance);
  std::snprintf(text, sizeof(text), "%.4f", cut / kCoverageSteps);
  return text;
}

std::optional<AnswerFault> FindIdFault(const CallRecord& call,
                                       const std::string& said) {
  const std::string_view header =
      FindHeader(call.headers, "Knapweed-Request-Id");
  if (said == call.request_id && header == call.request_id) {
    return std::nullopt;
  }
  return AnswerFault{
      .kind = PromiseKind::kWrongRequest,
      .detail = "body says " + said + ", header says " + std::string(header)};
}

std::optional<AnswerFault> FindHeaderFault(const CallRecord& call,
                                           const QueryAnswer& answer) {
  const auto expect =
      [&call](std::string_view name,
              std::string_view value) -> std::optional<AnswerFault> {
    const std::string_view found = FindHeader(call.headers, name);
    if (found == value) {
      return std::nullopt;
    }
    return Malformed(std::string(name) + " is '" + std::string(found) +
                     "', expected '" + std::string(value) + "'");
  };
  if (auto fault = expect("Knapweed-Snapshot", answer.snapshot.ToString())) {
    return fault;
  }
  if (auto fault = expect("Knapweed-Outcome", "run")) {
    return fault;
  }
  auto fault = expect("Knapweed-Coverage", CoverageHeader(answer.coverage));
  if (fault) {
    fault->kind = PromiseKind::kWrongCoverage;
  }
  return fault;
}

std::optional<AnswerFault> FindCoverageFault(
    const std::map<ServiceId, uint32_t>& units,
    const QueryAnswer& answer) {
  uint64_t total = 0;
  uint64_t answered = 0;
  for (const auto& [service, count] : units) {
    total += count;
    answered += answer.missing.contains(service) ? 0 : count;
  }
  const double coverage =
      static_cast<double>(answered) / static_cast<double>(total);
  if (answer.units_total == total && answer.units_answered == answered &&
      std::abs(answer.coverage - coverage) < kCoverageTolerance) {
    return std::nullopt;
  }
  return AnswerFault{.kind = PromiseKind::kWrongCoverage,
                     .detail = "says " + std::to_string(answer.units_answered) +
                               " of " + std::to_string(answer.units_total) +
                               " units (" + std::to_string(answer.coverage) +
                               "), truly " + std::to_string(answered) + " of " +
                               std::to_string(total)};
}

// The truth for the services that the answer says it covers.
std::vector<IndexHit> ExpectedHits(const std::map<ServiceId, uint32_t>& units,
                                   const CallRecord& call,
                                   const QueryAnswer& answer) {
  std::vector<IndexHit> expected;
  for (const auto& [service, count] : units) {
    if (answer.missing.contains(service)) {
      continue;
    }
    const auto hits = TrueHits(
        {.front = call.front, .snapshot = answer.snapshot, .service = service},
        call.subject);
    expected.insert(expected.end(), hits.begin(), hits.end());
  }
  SortAndCut(expected, call.limit);
  return expected;
}

std::optional<AnswerFault> FindHitFault(
    const std::map<ServiceId, uint32_t>& units,
    const CallRecord& call,
    QueryAnswer& answer) {
  const auto expected = ExpectedHits(units, call, answer);
  SortAndCut(answer.hits, answer.hits.size());
  if (answer.hits == expected) {
    return std::nullopt;
  }
  for (const IndexHit& hit : answer.hits) {
    if (std::find(expected.begin(), expected.end(), hit) == expected.end()) {
      return AnswerFault{.kind = PromiseKind::kWrongHits,
                         .detail = "hit " + hit.id + " is none of snapshot " +
                                   answer.snapshot.ToString() +
                                   " for the services covered"};
    }
  }
  if (answer.hits.size() > expected.size()) {
    return AnswerFault{.kind = PromiseKind::kWrongHits,
                       .detail = "a hit stands twice"};
  }
  return AnswerFault{
      .kind = PromiseKind::kWrongCoverage,
      .detail = std::to_string(expected.size() - answer.hits.size()) +
                " hits of services said to be covered are missing"};
}

std::optional<AnswerFault> FindFault(const FrontTruth& truth,
                                     const CallRecord& call,
                                     QueryAnswer answer) {
  if (auto fault = FindIdFault(call, answer.request_id)) {
    return fault;
  }
  if (answer.front != call.front.str()) {
    return AnswerFault{.kind = PromiseKind::kWrongRequest,
                       .detail = "of front " + answer.front};
  }
  const auto units = truth.units.find(answer.snapshot.generation);
  if (units == truth.units.end()) {
    return AnswerFault{.kind = PromiseKind::kWrongHits,
                       .detail = "no such generation as in snapshot " +
                                 answer.snapshot.ToString()};
  }
  if (auto fault = FindHeaderFault(call, answer)) {
    return fault;
  }
  if (auto fault = FindCoverageFault(units->second, answer)) {
    return fault;
  }
  return FindHitFault(units->second, call, answer);
}

std::optional<AnswerFault> FindRecordFaultIn(const CallRecord& call,
                                             const json& body) {
  if (auto fault =
          FindIdFault(call, body.at("request_id").get<std::string>())) {
    return fault;
  }
  const auto said = body.at("snapshot").get<std::string>();
  const auto snapshot = SnapshotId::Parse(said);
  if (!snapshot ||
      FindHeader(call.headers, "Knapweed-Snapshot") != std::string_view(said)) {
    return Malformed("snapshot " + said + " isn't the header's");
  }
  const json& record = body.at("record");
  if (record.at("id") != call.subject) {
    return AnswerFault{.kind = PromiseKind::kWrongRequest,
                       .detail = "record " + record.at("id").dump()};
  }
  if (record.at("text") !=
      TrueRecordText(call.front, *snapshot, call.subject)) {
    return AnswerFault{.kind = PromiseKind::kWrongHits,
                       .detail = "the record isn't of snapshot " + said};
  }
  return std::nullopt;
}

std::optional<AnswerFault> FindProblemFaultIn(const CallRecord& call,
                                              const json& body) {
  if (auto fault =
          FindIdFault(call, body.at("request_id").get<std::string>())) {
    return fault;
  }
  if (body.at("status") != call.status) {
    return Malformed("the body says status " + body.at("status").dump());
  }
  const auto outcome = body.at("outcome").get<std::string>();
  if (FindHeader(call.headers, "Knapweed-Outcome") !=
      std::string_view(outcome)) {
    return Malformed("outcome " + outcome + " isn't the header's");
  }
  if (outcome != "not_run" && outcome != "run" && outcome != "unknown") {
    return Malformed("no such outcome as " + outcome);
  }
  const bool asks_to_wait =
      call.status == kStatusOverShare || call.status == kStatusUnavailable;
  if (asks_to_wait && FindHeader(call.headers, "Retry-After").empty()) {
    return Malformed("Retry-After is missing");
  }
  return std::nullopt;
}

// Runs `find` on the parsed body; a body that can't be read is a fault.
template <typename Find>
std::optional<AnswerFault> InBody(const CallRecord& call, Find find) {
  try {
    return find(json::parse(call.body));
  } catch (const json::exception& error) {
    return Malformed(error.what());
  }
}

}  // namespace

std::optional<AnswerFault> FindQueryFault(const FrontTruth& truth,
                                          const CallRecord& call) {
  return InBody(call, [&truth, &call](const json& body) {
    return FindFault(truth, call, ReadQueryAnswer(body));
  });
}

std::optional<AnswerFault> FindRecordFault(const CallRecord& call) {
  return InBody(call, [&call](const json& body) {
    return FindRecordFaultIn(call, body);
  });
}

std::optional<AnswerFault> FindProblemFault(const CallRecord& call) {
  return InBody(call, [&call](const json& body) {
    return FindProblemFaultIn(call, body);
  });
}

}  // namespace knapweedroad
