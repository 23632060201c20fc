#include "review/stand_ins/configuration.h"

namespace review {

HttpMessage PutConfiguration(const std::string& route_type,
                             int timeout_ms,
                             uint64_t version) {
  HttpMessage order{.method = "PUT", .path = "/v1/configuration"};
  order.headers["content-type"] = "application/json";
  order.body =
      R"({"Version":)" + std::to_string(version) +
      R"(,"Routes":[{"Name":"lookup","Hostname":")" + std::string(kCallerHost) +
      R"(","PathPrefix":")" + kPathPrefix + R"(","RouteType":")" + route_type +
      R"(","TimeoutMs":)" + std::to_string(timeout_ms) +
      R"(,"TargetLatencyMs":500,"Priority":2,"Service":")" + kService +
      R"(","MaxAttempts":2}],"Services":[{"Name":")" + kService +
      R"(","HealthCheckPath":"/health","MaxConnections":110,"Protocol":"h1",)"
      R"("Tls":false,"ColdStartS":3.0,"ColdPerS":0.0}],)"
      R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,)"
      R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
  return order;
}

}  // namespace review
