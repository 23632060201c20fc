#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "knapweedroad/net/endless_sender.h"
#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// Far past anything a test waits for; a test that hangs runs into ctest's own
// limit instead.
TimePoint Late() {
  return Runtime::Now() + 60s;
}

HttpServerOptions Echo() {
  return {.endpoint = {.ip = "127.0.0.1"},
          .handler =
              [](const HttpRequest& request, HttpExchange&) {
                return HttpResponse{.body = request.path + request.body};
              },
          .max_body_bytes = 100};
}

Test(Http, ConcurrentRequestsGetTheirOwnAnswers) {
  Runtime runtime;
  HttpServer server(runtime, Echo());
  const uint16_t port = server.Start().value();
  HttpClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port},
                              .max_connections = 5});
  int right = 0;
  int ended = 0;
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    runtime.Spawn([&, i] {
      const std::string body = std::to_string(i);
      const auto response =
          client.Send({.method = "POST", .path = "/", .body = body}, Late());
      right += response && response->body == "/" + body ? 1 : 0;
      if (++ended == kRequests) {
        runtime.Stop();
      }
    });
  }
  runtime.Run();
  cr_assert(right == kRequests);
  cr_assert(server.peak_connections() <= 5);
}

Test(Http, AnOversizedBodyIsRefusedAndTheNextRequestServed) {
  Runtime runtime;
  HttpServer server(runtime, Echo());
  const uint16_t port = server.Start().value();
  HttpClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port}});
  const auto large = client.Send(
      {.method = "POST", .path = "/", .body = std::string(200, 'x')}, Late());
  cr_assert(large && large->status == 413);
  const auto small = client.Send({.path = "/ok"}, Late());
  cr_assert(small && small->body == "/ok");
}

// A caller's answer is lost without a trace: the server closes an idle
// connection, the client writes its next request to it and can't say whether it
// ran. The client looks at the connection before it writes.
Test(Http, AClosedIdleConnectionIsNotUsed) {
  Runtime runtime;
  HttpServerOptions options = Echo();
  options.idle_timeout = 20ms;
  HttpServer server(runtime, options);
  const uint16_t port = server.Start().value();
  HttpClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port}});
  cr_assert(client.Send({.path = "/1"}, Late()).has_value());
  while (server.connections() > 0) {
    Runtime::SleepFor(5ms);
  }
  const auto second = client.Send({.path = "/2"}, Late());
  cr_assert(second && second->body == "/2");
}

// A late answer reaches the wrong caller: the first exchange times out, its
// connection goes back to the pool, and the next request reads the answer that
// was meant for the first.
Test(Http, AnExchangeThatTimedOutTakesItsConnectionWithIt) {
  Runtime runtime;
  HttpServerOptions options = Echo();
  options.handler = [](const HttpRequest& request, HttpExchange&) {
    if (request.path == "/slow") {
      Runtime::SleepFor(100ms);
    }
    return HttpResponse{.body = request.path};
  };
  HttpServer server(runtime, options);
  const uint16_t port = server.Start().value();
  HttpClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port}});
  const auto slow = client.Send({.path = "/slow"}, Runtime::Now() + 10ms);
  cr_assert(!slow && slow.error().kind == NetErrorKind::kTimeout);
  cr_assert(slow.error().written);
  const auto next = client.Send({.path = "/next"}, Late());
  cr_assert(next && next->body == "/next");
}

Test(Http, ARefusedConnectionProvesThatNothingWasWritten) {
  Runtime runtime;
  HttpClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = 1}});
  const auto response = client.Send({}, Late());
  cr_assert(!response && !response.error().written);
}

// A target gets work that its host may no longer send: the process slept
// between the decision and the write. What is asked right before the write can
// still say no, and then nothing has left.
Test(Http, ARequestThatMayNoLongerBeSentIsNotWritten) {
  Runtime runtime;
  int handled = 0;
  HttpServerOptions options = Echo();
  options.handler = [&](const HttpRequest&, HttpExchange&) {
    ++handled;
    return HttpResponse{};
  };
  HttpServer server(runtime, options);
  const uint16_t port = server.Start().value();
  HttpClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port}});
  const auto response = client.Send(
      {}, Late(), {.before_write = [](HttpRequest&) { return false; }});
  cr_assert(!response && !response.error().written);
  cr_assert(response.error().kind == NetErrorKind::kCancelled);
  cr_assert(client.Send({}, Late()).has_value());
  cr_assert(handled == 1);
}

// A target gets more connections than its cap: one waits for the pool's only
// connection, it comes free, and the fiber that freed it takes it again before
// the one that was woken for it; that one then opened another.
Test(Http, AFreedConnectionGoesToTheOneThatWaits) {
  Runtime runtime;
  HttpServer server(runtime, Echo());
  const uint16_t port = server.Start().value();
  HttpClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port},
                              .max_connections = 1});
  int running = 3;
  for (int i = 0; i < 3; ++i) {
    runtime.Spawn([&] {
      for (int sent = 0; sent < 20; ++sent) {
        static_cast<void>(client.Send({}, Late()));
      }
      if (--running == 0) {
        runtime.Stop();
      }
    });
  }
  runtime.Run();
  cr_assert(server.peak_connections() == 1);
  cr_assert(client.connections() == 1);
}

// A caller that has left goes on costing the targets: nobody tells the handler
// that the connection is closed.
Test(Http, AHandlerHearsOfACallerThatLeft) {
  Runtime runtime;
  bool abandoned = false;
  HttpServerOptions options = Echo();
  options.handler = [&](const HttpRequest&, HttpExchange& exchange) {
    exchange.on_abandoned = [&] { abandoned = true; };
    while (!abandoned) {
      Runtime::SleepFor(1ms);
    }
    runtime.Stop();
    return HttpResponse{};
  };
  HttpServer server(runtime, options);
  const uint16_t port = server.Start().value();
  HttpClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port}});
  static_cast<void>(client.Send({}, Runtime::Now() + 10ms));
  runtime.Run();
  cr_assert(abandoned);
}

// What sockets hold, and slack.
constexpr size_t kMostSent = 16 << 20;

// The line of a chunk never ends, and is kept in memory until the deadline.
Test(Http, ARequestWithoutEndIsCut, .timeout = 60) {
  Runtime runtime;
  HttpServerOptions options = Echo();
  options.read_timeout = 50s;
  HttpServer server(runtime, options);
  const uint16_t port = server.Start().value();
  tcp::socket socket(runtime.io());
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  EndlessSender sender(std::move(socket),
                       "POST / HTTP/1.1\r\nHost: a\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n10;a=");
  sender.Send();
  while (!sender.is_cut) {
    Runtime::SleepFor(1ms);
  }
  cr_expect(sender.sent < kMostSent, "%zu", sender.sent);
}

Test(Http, AnAnswerWithoutEndIsCut, .timeout = 60) {
  Runtime runtime;
  tcp::acceptor acceptor(
      runtime.io(),
      tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  std::optional<EndlessSender> sender;
  acceptor.async_accept(
      [&](const boost::system::error_code&, tcp::socket accepted) {
        sender.emplace(std::move(accepted),
                       "HTTP/1.1 200 OK\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n10;a=");
        sender->Send();
      });
  HttpClient client(runtime,
                    {.endpoint = {.ip = "127.0.0.1",
                                  .port = acceptor.local_endpoint().port()}});
  const auto response = client.Send({.path = "/"}, Runtime::Now() + 50s);
  cr_assert(!response);
  cr_expect(response.error().kind == NetErrorKind::kTooLarge);
  while (!sender->is_cut) {
    Runtime::SleepFor(1ms);
  }
  cr_expect(sender->sent < kMostSent, "%zu", sender->sent);
}

// A shutdown cuts a request off: the process ends while a handler still runs.
Test(Http, StopWaitsForTheRunningRequest) {
  Runtime runtime;
  HttpServerOptions options = Echo();
  bool answered = false;
  bool started = false;
  options.handler = [&](const HttpRequest&, HttpExchange&) {
    started = true;
    Runtime::SleepFor(30ms);
    return HttpResponse{.body = "whole"};
  };
  HttpServer server(runtime, options);
  const uint16_t port = server.Start().value();
  HttpClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port}});
  runtime.Spawn([&] {
    const auto response = client.Send({}, Late());
    answered = response && response->body == "whole" && response->close;
    runtime.Stop();
  });
  while (!started) {
    Runtime::SleepFor(1ms);
  }
  server.Stop(Late());
  runtime.Run();
  cr_assert(answered);
}

}  // namespace
}  // namespace knapweedroad
