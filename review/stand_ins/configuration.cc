#include "review/stand_ins/configuration.h"

#include "review/stand_ins/wire.h"

namespace review {

HttpMessage PutConfiguration(const std::string& route_type,
                             int timeout_ms,
                             uint64_t version) {
  HttpMessage order{.method = "PUT", .path = WireText("configuration_path")};
  order.headers["content-type"] = "application/json";
  order.body =
      WireText("configuration", {{"version", std::to_string(version)},
                                 {"host", kCallerHost},
                                 {"prefix", kPathPrefix},
                                 {"type", route_type},
                                 {"timeout_ms", std::to_string(timeout_ms)},
                                 {"service", kService}});
  return order;
}

}  // namespace review
