#include "knapweedroad/cli/one_call.h"

#include <sstream>

#include "knapweedroad/cli/command.h"
#include "knapweedroad/host/report_json.h"
#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {

std::optional<HttpResponse> CallHost(
    const std::string& addresses,
    const HttpRequest& request,
    Duration timeout,
    const std::function<bool(const HttpResponse&)>& is_settled) {
  Runtime runtime;
  std::istringstream list(addresses);
  std::string address;
  std::string reason = "no address was given";
  std::optional<HttpResponse> last;
  while (std::getline(list, address, ',')) {
    const auto endpoint = ReadEndpoint(address);
    if (!endpoint) {
      Complain("'" + address + "' is no address; write IP:PORT");
      return std::nullopt;
    }
    HttpClient client(runtime, {.endpoint = *endpoint, .max_connections = 1});
    auto response = client.Send(request, Runtime::Now() + timeout);
    if (response) {
      last = std::move(*response);
      if (!is_settled || is_settled(*last)) {
        return last;
      }
      continue;
    }
    reason = address + ": " + response.error().detail;
    if (response.error().written && !is_settled) {
      break;
    }
  }
  if (last) {
    return last;
  }
  Complain("no host answered; last " + reason);
  return std::nullopt;
}

}  // namespace knapweedroad
