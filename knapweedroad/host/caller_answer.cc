#include "knapweedroad/host/caller_answer.h"

#include <nlohmann/json.hpp>

#include "knapweedroad/host/problem.h"

namespace knapweedroad {
namespace {

using nlohmann::json;

constexpr int kNotFound = 404;

std::string Dump(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

HttpResponse Answered(const FrontRequest& request, const SnapshotId& snapshot) {
  HttpResponse response;
  response.headers["Knapweed-Request-Id"] = request.request_id;
  response.headers["Knapweed-Snapshot"] = snapshot.ToString();
  response.headers["Knapweed-Outcome"] =
      std::string(ToString(RunOutcome::kRun));
  return response;
}

}  // namespace

HttpResponse QueryResponse(const FrontRequest& request,
                           const QueryAnswer& answer,
                           const HostId& host) {
  HttpResponse response = Answered(request, answer.snapshot);
  response.headers["Knapweed-Coverage"] = answer.coverage.ToText();
  json hits = json::array();
  for (const Hit& hit : answer.hits) {
    hits.push_back({{"id", hit.id}, {"score", hit.score}});
  }
  json missing = json::array();
  for (const ServiceId& service : answer.missing_services) {
    missing.push_back(service.str());
  }
  response.body = Dump({{"request_id", request.request_id},
                        {"front", request.front->name.str()},
                        {"snapshot", answer.snapshot.ToString()},
                        {"coverage", answer.coverage.Value()},
                        {"units_answered", answer.coverage.units_answered},
                        {"units_total", answer.coverage.units_total},
                        {"missing_services", std::move(missing)},
                        {"hits", std::move(hits)},
                        {"host", host.str()}});
  return response;
}

HttpResponse RecordResponse(const FrontRequest& request,
                            const RecordReply& reply,
                            const HostId& host) {
  if (!reply.found) {
    return ProblemResponse(
        {.status = kNotFound,
         .title = "No such record",
         .detail = "the target answered that there is no such record",
         .outcome = RunOutcome::kRun},
        request.request_id);
  }
  HttpResponse response = Answered(request, reply.snapshot);
  json record = json::parse(reply.body, nullptr, false);
  if (record.is_discarded()) {
    record = reply.body;
  }
  response.body = Dump({{"request_id", request.request_id},
                        {"front", request.front->name.str()},
                        {"snapshot", reply.snapshot.ToString()},
                        {"record", std::move(record)},
                        {"host", host.str()}});
  return response;
}

}  // namespace knapweedroad
