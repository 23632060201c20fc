#include "knapweedroad/testing/baseline_answer.h"

#include <cmath>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace knapweedroad {
namespace {

using nlohmann::json;

constexpr double kCoverageSteps = 10000.0;
constexpr size_t kDefaultLimit = 10;

std::string CoverageText(double coverage) {
  char text[16];
  std::snprintf(text, sizeof(text), "%.4f",
                std::floor(coverage * kCoverageSteps) / kCoverageSteps);
  return text;
}

}  // namespace

std::string IdOf(const HttpRequest& request) {
  return std::string(FindHeader(request.headers, "Knapweed-Request-Id"));
}

HttpResponse Problem(const HttpRequest& request,
                     int status,
                     const char* title,
                     const char* outcome) {
  const json body = {{"type", "about:blank"},
                     {"title", title},
                     {"status", status},
                     {"request_id", IdOf(request)},
                     {"outcome", outcome}};
  HttpResponse response{.status = status, .body = body.dump()};
  response.headers["Content-Type"] = "application/problem+json";
  response.headers["Knapweed-Request-Id"] = IdOf(request);
  response.headers["Knapweed-Outcome"] = outcome;
  response.headers["Retry-After"] = "1";
  return response;
}

BaselinePart ReadPart(const HttpResponse& response,
                      const std::string& attempt) {
  const json body = json::parse(response.body, nullptr, false);
  BaselinePart part;
  if (response.status != 200 || !body.is_object() ||
      FindHeader(response.headers, "Knapweed-Attempt-Id") != attempt) {
    return part;
  }
  part.answered = true;
  for (const json& hit : body.at("hits")) {
    part.hits.push_back({.id = hit.at("id"), .score = hit.at("score")});
  }
  return part;
}

Gathered Gather(const FrontConfig& front,
                const GenerationConfig& generation,
                const std::vector<BaselinePart>& parts) {
  Gathered all;
  for (size_t index = 0; index < parts.size(); ++index) {
    const ServiceId& service = front.services[index].name;
    const uint32_t units = generation.units.at(service);
    all.units_total += units;
    if (!parts[index].answered) {
      all.missing.push_back(service.str());
      continue;
    }
    all.units_answered += units;
    all.hits.insert(all.hits.end(), parts[index].hits.begin(),
                    parts[index].hits.end());
  }
  return all;
}

HttpResponse WriteAnswer(const HttpRequest& request,
                         const FrontConfig& front,
                         const SnapshotId& snapshot,
                         Gathered all) {
  const json asked = json::parse(request.body, nullptr, false);
  SortAndCut(all.hits, asked.is_object() ? asked.value("limit", kDefaultLimit)
                                         : kDefaultLimit);
  json hits = json::array();
  for (const IndexHit& hit : all.hits) {
    hits.push_back({{"id", hit.id}, {"score", hit.score}});
  }
  const double coverage = static_cast<double>(all.units_answered) /
                          static_cast<double>(all.units_total);
  const json body = {
      {"request_id", IdOf(request)},          {"front", front.name.str()},
      {"snapshot", snapshot.ToString()},      {"coverage", coverage},
      {"units_answered", all.units_answered}, {"units_total", all.units_total},
      {"missing_services", all.missing},      {"hits", hits}};
  HttpResponse response{.body = body.dump()};
  response.headers["Knapweed-Request-Id"] = IdOf(request);
  response.headers["Knapweed-Snapshot"] = snapshot.ToString();
  response.headers["Knapweed-Coverage"] = CoverageText(coverage);
  response.headers["Knapweed-Outcome"] = "run";
  return response;
}

}  // namespace knapweedroad
