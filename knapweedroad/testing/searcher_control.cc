#include "knapweedroad/testing/searcher_control.h"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "knapweedroad/net/http_server.h"
#include "knapweedroad/testing/searcher_core.h"
#include "knapweedroad/testing/searcher_counts_json.h"
#include "knapweedroad/testing/stand_in_fault.h"

namespace knapweedroad {
namespace {

using nlohmann::json;

// Lists of ids to look up can be long.
constexpr size_t kMaxBodyBytes = 64 << 20;

HttpResponse Refuse(int status, const std::string& detail) {
  const json body = {{"detail", detail}};
  return {.status = status, .body = body.dump()};
}

// Of the ids in `list`, those with a count above zero.
template <typename Count>
json CountEach(const json& list, Count count) {
  json counts = json::object();
  for (const json& id : list) {
    const uint64_t executions = count(id.get<std::string>());
    if (executions > 0) {
      counts[id.get<std::string>()] = executions;
    }
  }
  return counts;
}

HttpResponse Executed(const SearcherCore& core, const std::string& body) {
  try {
    const json asked = json::parse(body);
    const json found = {
        {"request_ids", CountEach(asked.at("request_ids"),
                                  [&core](const std::string& id) {
                                    return core.RequestExecutions(id);
                                  })},
        {"keys", CountEach(asked.at("keys"), [&core](const std::string& key) {
           return core.KeyExecutions(key);
         })}};
    return {.body = found.dump()};
  } catch (const json::exception& error) {
    return Refuse(400, error.what());
  }
}

HttpResponse ApplyFault(const SearcherControlOptions& options,
                        const std::string& body) {
  const auto fault = ParseStandInFault(body);
  if (!fault) {
    return Refuse(400, fault.error());
  }
  options.on_fault(*fault);
  return {.body = "{}"};
}

HttpResponse Handle(const SearcherControlOptions& options,
                    const HttpRequest& request) {
  if (request.path == "/v1/stand-in/counts") {
    return {.body = WriteCounts(CountsOf(*options.core))};
  }
  if (request.path == "/v1/stand-in/executed") {
    return Executed(*options.core, request.body);
  }
  if (request.path == "/v1/stand-in/fault") {
    return ApplyFault(options, request.body);
  }
  return Refuse(404, "no such path: " + request.path);
}

}  // namespace

SearcherControl::SearcherControl(Runtime& runtime,
                                 SearcherControlOptions options) {
  HttpServerOptions server_options{.endpoint = options.endpoint,
                                   .max_body_bytes = kMaxBodyBytes};
  server_options.handler = [options = std::move(options)](
                               const HttpRequest& request, HttpExchange&) {
    return Handle(options, request);
  };
  this->server =
      std::make_unique<HttpServer>(runtime, std::move(server_options));
}

SearcherControl::~SearcherControl() = default;

tl::expected<uint16_t, NetError> SearcherControl::Start() {
  return this->server->Start();
}

}  // namespace knapweedroad
