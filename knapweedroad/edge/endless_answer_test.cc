// Targets that send bytes without end, in a head or a body, until their caller
// closes.

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/net/receive_budget.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// What one connection may take in memory, what the sockets hold, and slack.
constexpr size_t kMostSent = 32 << 20;

// Answers each connection with `begin`, and then with `more` again and again
// until the caller closes.
class EndlessTarget {
 public:
  EndlessTarget(Runtime& runtime, std::string begin, const std::string& more)
      : begin(std::move(begin)),
        acceptor(runtime.io(),
                 tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    constexpr size_t kPieceBytes = 16 << 10;
    while (this->piece.size() < kPieceBytes) {
      this->piece += more;
    }
    this->Accept();
  }

  Endpoint address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

  size_t sent = 0;
  int closed = 0;

 private:
  void Accept() {
    this->acceptor.async_accept([this](const boost::system::error_code& error,
                                       tcp::socket socket) {
      if (error) {
        return;
      }
      this->Send(std::make_shared<tcp::socket>(std::move(socket)), this->begin);
      this->Accept();
    });
  }

  void Send(const std::shared_ptr<tcp::socket>& socket,
            const std::string& bytes) {
    boost::asio::async_write(
        *socket, boost::asio::buffer(bytes),
        [this, socket](const boost::system::error_code& error, size_t count) {
          this->sent += count;
          if (error) {
            ++this->closed;
            return;
          }
          this->Send(socket, this->piece);
        });
  }

  std::string begin;
  std::string piece;
  tcp::acceptor acceptor;
};

// Asks so many times at once, and waits for all the replies.
std::vector<ReplyKind> AskAll(TargetLinks& links,
                              const Endpoint& address,
                              size_t count) {
  std::vector<ReplyKind> kinds;
  std::vector<std::shared_ptr<TargetExchange>> exchanges;
  for (size_t i = 0; i < count; ++i) {
    exchanges.push_back(links.Send(
        {.target = TargetId("t"),
         .address = address,
         .bytes =
             [] { return std::string("GET / HTTP/1.1\r\nHost: t\r\n\r\n"); },
         .request_id = "id-1",
         .deadline = Runtime::Now() + 30s},
        [&kinds](const TargetReply& reply) { kinds.push_back(reply.kind); }));
  }
  while (kinds.size() < count) {
    Runtime::SleepFor(10ms);
    links.Sweep(Runtime::Now());
  }
  return kinds;
}

void ExpectCut(const char* what,
               const std::string& begin,
               const std::string& more) {
  Runtime runtime;
  const HeaderNames header_names{.request_id = "Request-Id"};
  TargetLinks links(runtime, {.header_names = header_names});
  EndlessTarget target(runtime, begin, more);
  const auto kinds = AskAll(links, target.address(), 1);
  cr_expect(kinds.front() == ReplyKind::kBroken, "%s", what);
  for (int i = 0; target.closed == 0 && i < 500; ++i) {
    Runtime::SleepFor(10ms);
  }
  cr_expect(target.closed == 1, "%s", what);
  cr_expect(target.sent < kMostSent, "%s: %zu", what, target.sent);
}

// A head, a body, or what lies between chunks never ends, and is kept in memory
// until the request's deadline.
Test(endless_answer, a_status_line_without_end_is_cut, .timeout = 60) {
  ExpectCut("status line", "HTTP/1.1 200 ", "all is well ");
}

Test(endless_answer, a_header_without_end_is_cut, .timeout = 60) {
  ExpectCut("header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n");
}

Test(endless_answer, one_header_line_without_end_is_cut, .timeout = 60) {
  ExpectCut("header line", "HTTP/1.1 200 OK\r\nA: ", "bbbb");
}

Test(endless_answer, a_body_without_length_and_end_is_cut, .timeout = 60) {
  ExpectCut("body", "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef");
}

Test(endless_answer, chunks_without_end_are_cut, .timeout = 60) {
  ExpectCut("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "10\r\n0123456789abcdef\r\n");
}

Test(endless_answer, the_line_of_a_chunk_without_end_is_cut, .timeout = 60) {
  ExpectCut(
      "chunk's line",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10;a=", "bbbb");
}

Test(endless_answer,
     lines_after_the_chunks_without_end_are_cut,
     .timeout = 60) {
  ExpectCut("trailer",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "A: b\r\n");
}

// Each answer ends, and none is the one to this request.
Test(endless_answer, interim_answers_without_end_are_cut, .timeout = 60) {
  ExpectCut("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n");
}

Test(endless_answer,
     answers_to_other_requests_without_end_are_cut,
     .timeout = 60) {
  ExpectCut(
      "left-over answers", "",
      "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx");
}

// Nobody reads the body of a health answer, and each target has its own.
Test(endless_answer, a_health_answer_has_a_short_limit, .timeout = 60) {
  Runtime runtime;
  const HeaderNames header_names{.request_id = "Request-Id"};
  TargetLinks links(runtime, {.header_names = header_names});
  EndlessTarget target(runtime,
                       "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n",
                       "0123456789abcdef");
  std::optional<ReplyKind> kind;
  links.Send({.target = TargetId("t"),
              .address = target.address(),
              .bytes = [] { return std::string("GET / HTTP/1.1\r\n\r\n"); },
              .max_answer_bytes = 16 << 10,
              .deadline = Runtime::Now() + 5s},
             [&](const TargetReply& reply) { kind = reply.kind; });
  while (!kind) {
    Runtime::SleepFor(10ms);
    links.Sweep(Runtime::Now());
  }
  cr_expect(kind == ReplyKind::kBroken);
}

// Each answer stays below its own limit, and together they take all memory.
Test(endless_answer, many_at_once_share_one_budget, .timeout = 60) {
  Runtime runtime;
  const HeaderNames header_names{.request_id = "Request-Id"};
  TargetLinks links(runtime, {.header_names = header_names});
  EndlessTarget target(runtime, "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef");
  constexpr size_t kConnections = 40;
  const auto kinds = AskAll(links, target.address(), kConnections);
  for (const ReplyKind kind : kinds) {
    cr_expect(kind == ReplyKind::kBroken);
  }
  // What the sockets of all connections may hold comes on top.
  constexpr size_t kSocketBytes = 4 << 20;
  cr_expect(target.sent < kMostSent + kConnections * kSocketBytes, "%zu",
            target.sent);
}

Test(answer_budget, only_large_answers_are_cut_when_it_is_spent) {
  ReceiveBudget budget(1 << 20);
  budget.Grow(2 << 20);
  cr_expect(!budget.MayHold(ReceiveBudget::kAlwaysHeld + 1));
  cr_expect(budget.MayHold(ReceiveBudget::kAlwaysHeld));
  budget.Release(1 << 20);
  cr_expect(budget.MayHold(ReceiveBudget::kAlwaysHeld + 1));
}

}  // namespace
}  // namespace knapweedroad
