// A pool of HTTP/1.1 connections to one endpoint.
//
//   HttpClient client(runtime, {.endpoint = {"127.0.0.1", 8080},
//                               .max_connections = 20});
//   auto response = client.Send(request, Runtime::Now() + 50ms);
//
// A connection with an unfinished exchange is never used again, so an answer
// that comes late can't be taken for another request's. An idle connection
// that the other end has closed is found before a request is written to it.

#ifndef KNAPWEEDROAD_NET_HTTP_CLIENT_H_
#define KNAPWEEDROAD_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>

#include <tl/expected.hpp>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/http_message.h"
#include "knapweedroad/net/net_error.h"

namespace knapweedroad {

class Runtime;

struct HttpClientOptions {
  Endpoint endpoint;
  // Open connections, busy and idle, at most.
  size_t max_connections = 100;
  size_t max_body_bytes = 8 << 20;
};

// Ends one exchange from outside: see HttpClient::Send.
class HttpCancel {
 public:
  // Closes the exchange's connection, if it still runs; its Send() returns
  // kCancelled.
  void Cancel();
  bool cancelled() const { return this->is_cancelled; }

 private:
  friend class HttpClient;
  bool is_cancelled = false;
  std::function<void()> close;
};

// How one exchange differs from a plain one.
struct HttpSendOptions {
  // Don't use an idle connection.
  bool fresh_connection = false;
  // Outlives the call.
  HttpCancel* cancel = nullptr;
  // Asked right before the first byte is written, after any wait for a
  // connection; may complete the request. False: it isn't sent, and the error
  // is kCancelled with nothing written.
  std::function<bool(HttpRequest& request)> before_write;
};

class HttpClient {
 public:
  HttpClient(Runtime& runtime, HttpClientOptions options);
  ~HttpClient();

  // Sends the request and waits for its whole answer, blocking the calling
  // fiber until `deadline` at the latest.
  tl::expected<HttpResponse, NetError> Send(
      HttpRequest request,
      TimePoint deadline,
      const HttpSendOptions& send_options = {});

  // Closes all idle connections; each may have gone silent.
  void DropIdle();

  // Takes effect for connections opened from now on; idle ones over it close.
  void SetMaxConnections(size_t most);

  size_t connections() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_HTTP_CLIENT_H_
