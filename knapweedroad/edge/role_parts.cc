#include "knapweedroad/edge/role_parts.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/config/role_settings.h"
#include "knapweedroad/edge/control_host_id.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {

std::vector<HostId> SeedIds(const RoleSettings& settings) {
  std::vector<HostId> seeds;
  for (const Endpoint& seed : settings.control_seeds) {
    seeds.push_back(ControlHostId({seed.ip, settings.peer_address.port}));
  }
  return seeds;
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

RequestId RandomRequestId() {
  std::random_device device;
  return RequestId(std::to_string((uint64_t{device()} << 32) | device()));
}

void LogReload(const RoleSettings& settings) {
  LogLine("settings_reloaded")
      .Add("host", settings.name)
      .Add("seeds", settings.control_seeds.size())
      .Info();
}

tl::expected<std::unique_ptr<HttpServer>, std::string> StartMetricsServer(
    Runtime& runtime,
    const RoleSettings& settings,
    std::function<std::string()> print) {
  if (settings.metrics_port == 0) {
    return nullptr;
  }
  auto server = std::make_unique<HttpServer>(
      runtime,
      HttpServerOptions{
          .endpoint = {settings.peer_address.ip, settings.metrics_port},
          .handler = [print = std::move(print)](const HttpRequest&,
                                                HttpExchange&) {
            return HttpResponse{
                .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                .body = print()};
          }});
  if (const auto port = server->Start(); !port) {
    return tl::unexpected(port.error().detail);
  }
  return server;
}

void RepeatEvery(Runtime& runtime,
                 Duration interval,
                 std::function<bool()> step) {
  runtime.Spawn([interval, step = std::move(step)] {
    while (step()) {
      Runtime::SleepFor(interval);
    }
  });
}

}  // namespace knapweedroad
