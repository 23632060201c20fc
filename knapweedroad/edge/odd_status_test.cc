// Targets whose answers have a status that no final answer has.

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// Long after the target has answered.
constexpr Duration kDeadline = 3s;

// Sends the same bytes on each connection and keeps it open.
class FixedTarget {
 public:
  FixedTarget(Runtime& runtime, std::string answer)
      : answer(std::move(answer)),
        acceptor(runtime.io(),
                 tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    this->acceptor.async_accept([this](const boost::system::error_code& error,
                                       tcp::socket taken) {
      if (!error) {
        this->socket.emplace(std::move(taken));
        boost::asio::write(*this->socket, boost::asio::buffer(this->answer));
      }
    });
  }
  Endpoint address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

 private:
  std::string answer;
  tcp::acceptor acceptor;
  std::optional<tcp::socket> socket;
};

// The reply to a question, and whether it came before the deadline.
struct Outcome {
  TargetReply reply;
  bool is_in_time = false;
};

Outcome Ask(const std::string& answer) {
  Runtime runtime;
  const HeaderNames header_names{.request_id = "Request-Id", .seal = "Seal"};
  TargetLinks links(runtime, {.header_names = header_names});
  FixedTarget target(runtime, answer);
  std::optional<TargetReply> reply;
  const TimePoint deadline = Runtime::Now() + kDeadline;
  links.Send({.target = TargetId("t"),
              .address = target.address(),
              .bytes =
                  [] {
                    return std::string(
                        "POST / HTTP/1.1\r\nHost: t\r\n"
                        "Content-Length: 0\r\n\r\n");
                  },
              .request_id = "id-1",
              .deadline = deadline},
             [&reply](TargetReply got) { reply = std::move(got); });
  while (!reply) {
    Runtime::SleepFor(10ms);
    links.Sweep(Runtime::Now());
  }
  return {.reply = *std::move(reply), .is_in_time = Runtime::Now() < deadline};
}

std::string Answer(const std::string& status) {
  return "HTTP/1.1 " + status +
         " X\r\nRequest-Id: id-1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
}

// A status outside 200 to 599 reaches a caller as an answer, or is taken for an
// interim answer and costs the whole deadline.
Test(odd_status, is_no_answer) {
  for (const char* const status :
       {"000", "001", "099", "100", "101", "150", "199", "600", "601", "999"}) {
    const Outcome outcome = Ask(Answer(status));
    cr_expect(outcome.reply.kind == ReplyKind::kBroken, "%s", status);
    cr_expect(outcome.is_in_time, "%s", status);
  }
}

// The same without any field: only what may be interim is waited on.
Test(odd_status, without_fields_is_no_answer) {
  for (const char* const status : {"000", "099", "101", "600", "999"}) {
    const Outcome outcome =
        Ask("HTTP/1.1 " + std::string(status) + " X\r\n\r\n");
    cr_expect(outcome.reply.kind == ReplyKind::kBroken, "%s", status);
    cr_expect(outcome.is_in_time, "%s", status);
  }
}

// A target announces its answer, as HTTP allows.
Test(odd_status, interim_answers_are_passed_over) {
  for (const char* const status : {"100", "102", "103", "199"}) {
    const Outcome outcome = Ask("HTTP/1.1 " + std::string(status) +
                                " X\r\nLink: </a>\r\n\r\n" + Answer("200"));
    cr_expect(outcome.reply.kind == ReplyKind::kAnswered, "%s", status);
    cr_expect(outcome.reply.answer.status == 200, "%s", status);
  }
  for (const char* const status : {"200", "299", "404", "599"}) {
    cr_expect(Ask(Answer(status)).reply.kind == ReplyKind::kAnswered);
  }
}

}  // namespace
}  // namespace knapweedroad
