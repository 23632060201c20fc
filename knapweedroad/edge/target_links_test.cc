#include "knapweedroad/edge/target_links.h"

#include <criterion/criterion.h>

#include <functional>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// Long enough that only the reset, and never the end of the wait, can decide.
constexpr Duration kLongSettle = 30s;

// Takes connections and resets each at once.
class FullTarget {
 public:
  explicit FullTarget(Runtime& runtime)
      : acceptor(runtime.io(),
                 tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    this->Accept();
  }

  Endpoint address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

 private:
  void Accept() {
    this->acceptor.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket) {
          if (error) {
            return;
          }
          socket.set_option(boost::asio::socket_base::linger(true, 0));
          socket.close();
          this->Accept();
        });
  }

  tcp::acceptor acceptor;
};

struct Outcome {
  ReplyKind kind = ReplyKind::kBroken;
  bool was_written = false;
};

Outcome SendOnce(Runtime& runtime,
                 const Endpoint& address,
                 bool settles,
                 Duration settle) {
  const HeaderNames header_names;
  TargetLinks links(runtime, {.header_names = header_names, .settle = settle});
  Outcome outcome;
  std::optional<ReplyKind> kind;
  const auto exchange =
      links.Send({.target = TargetId("t"),
                  .address = address,
                  .bytes =
                      [&outcome] {
                        outcome.was_written = true;
                        return std::string("GET / HTTP/1.1\r\nHost: t\r\n\r\n");
                      },
                  .settles = settles,
                  .deadline = Runtime::Now() + 60s},
                 [&kind](const TargetReply& reply) { kind = reply.kind; });
  while (!kind) {
    Runtime::SleepFor(1ms);
  }
  outcome.kind = *kind;
  return outcome;
}

// A lookup that must not run twice is sent on a new connection to a target that
// is at its cap. The connection is accepted, then reset: once anything is
// written nobody can say whether it ran, and the caller gets a 502. So the
// connection is watched first, and the lookup goes elsewhere.
Test(target_links,
     a_connection_that_is_connection_rejected_was_never_written_to) {
  Runtime runtime;
  FullTarget target(runtime);
  const Outcome outcome =
      SendOnce(runtime, target.address(), /*settles=*/true, kLongSettle);
  cr_expect(outcome.kind == ReplyKind::kRejected);
  cr_expect_not(outcome.was_written);
}

Test(target_links, nobody_listening_is_unreachable) {
  Runtime runtime;
  Endpoint address;
  {
    const FullTarget closed(runtime);
    address = closed.address();
  }
  const Outcome outcome =
      SendOnce(runtime, address, /*settles=*/true, kLongSettle);
  cr_expect(outcome.kind == ReplyKind::kUnreachable);
}

Test(target_links, a_watched_connection_that_holds_is_written_to) {
  Runtime runtime;
  HttpServer server(runtime, {.endpoint = {"127.0.0.1", 0},
                              .handler = [](const HttpRequest&, HttpExchange&) {
                                return HttpResponse{.body = "x"};
                              }});
  const uint16_t port = server.Start().value();
  const Outcome outcome =
      SendOnce(runtime, {"127.0.0.1", port}, /*settles=*/true, 1ms);
  cr_expect(outcome.kind == ReplyKind::kAnswered);
  cr_expect(outcome.was_written);
}

// Guards against a log line for every answer of a target whose load reports
// this version can't read.
Test(target_links, a_malformed_load_report_is_logged_once, .timeout = 60) {
  int lines = 0;
  LogLine::SetSink([&lines](std::string_view line) {
    lines += line.find("load_report_malformed") != std::string_view::npos;
  });
  Runtime runtime;
  HeaderNames header_names;
  header_names.parse_load = [](std::string_view) {
    return TargetLoadReport{.load = TargetLoad{.slots = 2},
                            .is_malformed = true};
  };
  HttpServer target(
      runtime, {.endpoint = {"127.0.0.1", 0},
                .handler = [&](const HttpRequest&, HttpExchange&) {
                  return HttpResponse{.headers = {{header_names.load, "x"}}};
                }});
  const Endpoint address{"127.0.0.1", target.Start().value()};
  TargetLinks links(runtime, {.header_names = header_names,
                              .on_idle_closed = [](const TargetId&) {}});
  const auto send = [&](const char* id) {
    std::optional<TargetReply> reply;
    const auto exchange =
        links.Send({.target = TargetId(id),
                    .address = address,
                    .bytes = [] { return "GET / HTTP/1.1\r\nHost: t\r\n\r\n"; },
                    .deadline = Runtime::Now() + 60s},
                   [&reply](TargetReply given) { reply = std::move(given); });
    while (!reply) {
      Runtime::SleepFor(1ms);
    }
    cr_expect(reply->load && reply->load->slots == 2);
  };
  send("t1");
  send("t1");
  cr_expect(lines == 1);
  send("t2");
  cr_expect(lines == 2);
  LogLine::SetSink(nullptr);
}

}  // namespace
}  // namespace knapweedroad
