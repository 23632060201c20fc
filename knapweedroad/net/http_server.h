// An HTTP/1.1 server: one fiber a connection, limits on sizes and times.
//
//   HttpServer server(runtime, {.endpoint = {"127.0.0.1", 8080},
//                               .handler = [](const HttpRequest& request,
//                                             HttpExchange& exchange) {
//                                 return HttpResponse{.body = "hello"};
//                               }});
//   auto port = server.Start();

#ifndef KNAPWEEDROAD_NET_HTTP_SERVER_H_
#define KNAPWEEDROAD_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <tl/expected.hpp>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/http_message.h"
#include "knapweedroad/net/net_error.h"

namespace knapweedroad {

class Runtime;

// What a handler may know of, and do to, the exchange it answers.
struct HttpExchange {
  // When the request's first byte had come.
  TimePoint received;
  // Set by the handler: called at most once, in another fiber, when the client
  // closes its connection before the answer is written.
  std::function<void()> on_abandoned;
};

// Runs in the connection's own fiber and may block it.
using HttpHandler = std::function<HttpResponse(const HttpRequest& request,
                                               HttpExchange& exchange)>;

struct HttpServerOptions {
  // Port 0 takes any free one.
  Endpoint endpoint;
  HttpHandler handler;
  size_t max_body_bytes = 1 << 20;
  size_t max_header_bytes = 16 << 10;
  // From a request's first byte to its last.
  Duration read_timeout = std::chrono::seconds(5);
  // How long a connection may stay open without a request.
  Duration idle_timeout = std::chrono::seconds(60);
  // Connections over this many are accepted and closed at once; 0: no limit.
  size_t max_connections = 0;
};

class HttpServer {
 public:
  HttpServer(Runtime& runtime, HttpServerOptions options);
  ~HttpServer();

  // Binds and starts to accept; the port it listens on, or why it can't.
  tl::expected<uint16_t, NetError> Start();

  // Graceful: from now on each answer says `Connection: close`, but new
  // connections are still accepted and served.
  void StartDraining();

  // Stops accepting, closes idle connections, and blocks the calling fiber
  // until every running request has had its answer or `deadline` has come.
  void Stop(TimePoint deadline);

  // Connections open now, the most there ever were, and how many were closed
  // for `max_connections`.
  size_t connections() const;
  size_t peak_connections() const;
  size_t refused_connections() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_HTTP_SERVER_H_
