#include <iostream>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "knapweedroad/cli/command.h"
#include "knapweedroad/cli/one_call.h"

DEFINE_string(callers,
              "127.0.0.1:7001",
              "caller addresses of hosts, IP:PORT, separated by commas");
DEFINE_string(tenant, "", "the tenant to ask for; required");
DEFINE_string(request_class, "normal", "the request's class");
DEFINE_int32(deadline_ms, 0, "how long to wait, in ms; 0: the front's default");
DEFINE_int32(limit, 10, "hits wanted");

namespace knapweedroad {
namespace {

constexpr int kOk = 200;
constexpr Duration kTimeout = std::chrono::seconds(30);

int RunQuery(std::span<const std::string> words) {
  if (words.size() != 2 || FLAGS_tenant.empty()) {
    return UsageError(kQueryCommand, "it takes --tenant, FRONT and TEXT");
  }
  HttpRequest request{.method = "POST",
                      .path = "/v1/fronts/" + words[0] + "/query"};
  request.headers = {{"Knapweed-Tenant", FLAGS_tenant},
                     {"Knapweed-Class", FLAGS_request_class},
                     {"Content-Type", "application/json"},
                     {"Host", "knapweedroad"}};
  if (FLAGS_deadline_ms > 0) {
    request.headers["Knapweed-Deadline-Ms"] = std::to_string(FLAGS_deadline_ms);
  }
  request.body =
      nlohmann::json({{"query", words[1]}, {"limit", FLAGS_limit}}).dump();
  const auto response = CallHost(FLAGS_callers, request, kTimeout);
  if (!response) {
    return kExitFailed;
  }
  const auto body = nlohmann::json::parse(response->body, nullptr, false);
  std::cout << (body.is_discarded() ? response->body : body.dump(2)) << "\n";
  if (response->status == kOk) {
    std::cout << "coverage: "
              << FindHeader(response->headers, "Knapweed-Coverage")
              << ", snapshot: "
              << FindHeader(response->headers, "Knapweed-Snapshot") << "\n";
  }
  return response->status == kOk ? kExitDone : kExitFailed;
}

}  // namespace

const Command kQueryCommand{
    .name = "query",
    .summary = "asks a search front one question",
    .usage =
        "query --tenant TENANT FRONT TEXT\n\nPrints the answer with its "
        "coverage and snapshot.\n",
    .flags_file = "query_command",
    .run = RunQuery};

}  // namespace knapweedroad
