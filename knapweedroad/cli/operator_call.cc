#include "knapweedroad/cli/operator_call.h"

#include <iostream>
#include <random>

#include <nlohmann/json.hpp>

#include "knapweedroad/cli/command.h"
#include "knapweedroad/cli/one_call.h"

namespace knapweedroad {
namespace {

constexpr std::string_view kUnknownResult = "unknown";

// "refused" for an answer that is no change's: the request was wrong.
std::string ResultOf(const HttpResponse& response) {
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  return body.is_object() ? body.value("result", "refused") : "refused";
}

void PrintFaults(const nlohmann::json& body) {
  if (!body.is_object() || !body.contains("errors")) {
    return;
  }
  for (const auto& error : body["errors"]) {
    std::cout << "  " << error.value("path", "") << ": "
              << error.value("message", "") << "; " << error.value("remedy", "")
              << "\n";
  }
}

}  // namespace

std::string ChangeId(const std::string& given) {
  if (!given.empty()) {
    return given;
  }
  std::random_device device;
  std::string made =
      "c-" + std::to_string((uint64_t{device()} << 32) | device());
  std::cout << "request id: " << made << "\n";
  return made;
}

HttpHeaders OperatorHeaders(const std::string& operator_id,
                            const std::string& request_id,
                            std::optional<uint64_t> base_version) {
  HttpHeaders headers = {{"Knapweed-Operator", operator_id},
                         {"Knapweed-Request-Id", request_id},
                         {"Content-Type", "application/json"},
                         {"Host", "knapweedroad"}};
  if (base_version) {
    headers["Knapweed-Base-Version"] = std::to_string(*base_version);
  }
  return headers;
}

int SendChange(const std::string& addresses, const HttpRequest& request) {
  const auto response = CallHost(addresses, request, kChangeTimeout,
                                 [](const HttpResponse& answer) {
                                   return ResultOf(answer) != kUnknownResult;
                                 });
  if (!response) {
    std::cout << "unknown: send it again under the same request id\n";
    return kExitUnknown;
  }
  const auto body = nlohmann::json::parse(response->body, nullptr, false);
  const std::string result = ResultOf(*response);
  std::cout << result;
  if (body.is_object() && body.contains("version")) {
    std::cout << ", version " << body["version"];
  }
  if (body.is_object() && body.contains("detail")) {
    std::cout << ": " << body.value("detail", "");
  }
  std::cout << "\n";
  PrintFaults(body);
  if (result == "accepted") {
    return kExitDone;
  }
  return result == kUnknownResult ? kExitUnknown : kExitFailed;
}

}  // namespace knapweedroad
