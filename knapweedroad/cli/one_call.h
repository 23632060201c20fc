// One HTTP exchange of a command with a host.
//
//   auto response = CallHost("127.0.0.1:7003", {.path = "/v1/status"}, 5s);

#ifndef KNAPWEEDROAD_CLI_ONE_CALL_H_
#define KNAPWEEDROAD_CLI_ONE_CALL_H_

#include <functional>
#include <optional>
#include <string>

#include "knapweedroad/base/time.h"
#include "knapweedroad/net/http_message.h"

namespace knapweedroad {

// Tries the addresses ("IP:PORT", separated by commas) in turn while they
// can't be reached and nothing has been written. Nothing after printing why.
//
// With `is_settled` the request is one that may be sent twice: the next address
// is tried after a lost answer, too, and after one for which it is false. The
// last answer is returned.
std::optional<HttpResponse> CallHost(
    const std::string& addresses,
    const HttpRequest& request,
    Duration timeout,
    const std::function<bool(const HttpResponse&)>& is_settled = nullptr);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CLI_ONE_CALL_H_
