// Targets whose answers have a status that no final answer has.

#include <criterion/criterion.h>

#include <optional>
#include <string>

#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/raw_target.h"
#include "knapweedroad/edge/target_links.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

// Long after the target has answered.
constexpr Duration kDeadline = 3s;

// The reply to a question; nothing if it came at the deadline only.
std::optional<TargetReply> Ask(const std::string& answer) {
  Runtime runtime;
  const HeaderNames header_names{.request_id = "Request-Id", .seal = "Seal"};
  TargetLinks links(runtime, {.header_names = header_names});
  RawTarget target(runtime, answer);
  std::optional<TargetReply> reply;
  const TimePoint deadline = Runtime::Now() + kDeadline;
  links.Send(
      {.target = TargetId("t"),
       .address = target.address(),
       .bytes =
           [] { return std::string("POST / HTTP/1.1\r\nHost: t\r\n\r\n"); },
       .request_id = "id-1",
       .deadline = deadline},
      [&reply](TargetReply got) { reply = std::move(got); });
  while (!reply && Runtime::Now() < deadline) {
    Runtime::SleepFor(10ms);
    links.Sweep(Runtime::Now());
  }
  return reply;
}

std::string Answer(const std::string& status) {
  return "HTTP/1.1 " + status +
         " X\r\nRequest-Id: id-1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
}

void ExpectNoAnswer(const std::string& bytes) {
  const auto reply = Ask(bytes);
  cr_assert(reply.has_value(), "%s", bytes.c_str());
  cr_expect(reply->kind == ReplyKind::kBroken, "%s", bytes.c_str());
}

// A status outside 200 to 599 reaches a caller as an answer, or is taken for an
// interim answer and costs the whole deadline.
Test(odd_status, is_no_answer) {
  for (const char* const status :
       {"000", "001", "099", "100", "101", "150", "199", "600", "601", "999"}) {
    ExpectNoAnswer(Answer(status));
  }
}

// The same without any field: only what may be interim is waited on.
Test(odd_status, without_fields_is_no_answer) {
  for (const char* const status : {"000", "099", "101", "600", "999"}) {
    ExpectNoAnswer("HTTP/1.1 " + std::string(status) + " X\r\n\r\n");
  }
}

// A target announces its answer, as HTTP allows.
Test(odd_status, interim_answers_are_passed_over) {
  for (const char* const status : {"100", "102", "103", "199"}) {
    const auto reply = Ask("HTTP/1.1 " + std::string(status) +
                           " X\r\nLink: </a>\r\n\r\n" + Answer("200"));
    cr_assert(reply.has_value(), "%s", status);
    cr_expect(reply->kind == ReplyKind::kAnswered, "%s", status);
    cr_expect(reply->answer.status == 200, "%s", status);
  }
  for (const char* const status : {"200", "299", "404", "599"}) {
    cr_expect(Ask(Answer(status))->kind == ReplyKind::kAnswered);
  }
}

}  // namespace
}  // namespace knapweedroad
