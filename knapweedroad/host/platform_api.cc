#include "knapweedroad/host/platform_api.h"

#include "knapweedroad/metrics/host_metrics.h"

namespace knapweedroad {

std::optional<HttpResponse> AnswerPlatform(const HttpRequest& request,
                                           bool ready,
                                           const HostMetrics& metrics) {
  constexpr int kUnavailable = 503;
  if (request.path == "/healthz") {
    return HttpResponse{.body = "{\"healthy\": true}"};
  }
  if (request.path == "/readyz") {
    return ready ? HttpResponse{.body = "{\"ready\": true}"}
                 : HttpResponse{.status = kUnavailable,
                                .body = "{\"ready\": false}"};
  }
  if (request.path == "/metrics") {
    return HttpResponse{
        .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
        .body = metrics.PrometheusText()};
  }
  return std::nullopt;
}

}  // namespace knapweedroad
