// The platform's side: liveness, readiness and metrics.
//
//   if (auto response = AnswerPlatform(request, ready, metrics)) return
//   *response;

#ifndef KNAPWEEDROAD_HOST_PLATFORM_API_H_
#define KNAPWEEDROAD_HOST_PLATFORM_API_H_

#include <optional>

#include "knapweedroad/net/http_message.h"

namespace knapweedroad {

class HostMetrics;

// Nothing where the path is another one.
std::optional<HttpResponse> AnswerPlatform(const HttpRequest& request,
                                           bool ready,
                                           const HostMetrics& metrics);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_PLATFORM_API_H_
