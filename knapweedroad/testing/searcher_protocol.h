// The target's side of docs/PROTOCOLS.md: HTTP messages to and from the
// stand-in searcher's own types. No I/O.

#ifndef KNAPWEEDROAD_TESTING_SEARCHER_PROTOCOL_H_
#define KNAPWEEDROAD_TESTING_SEARCHER_PROTOCOL_H_

#include <string>

#include <tl/expected.hpp>

#include "knapweedroad/net/http_message.h"
#include "knapweedroad/target/target_report.h"
#include "knapweedroad/testing/searcher_core.h"

namespace knapweedroad {

// The path of cancels; every other path is work.
inline constexpr std::string_view kCancelPath = "/v1/cancel";

// Reads a search, record read or lookup; the error is the answer to send.
tl::expected<WorkRequest, HttpResponse> ReadWork(const HttpRequest& request);

// The attempt that a cancel names; empty where it names none.
std::string ReadCancel(const HttpRequest& request);

HttpResponse WriteAnswer(const WorkAnswer& answer);
HttpResponse WriteRefusal(const WorkRefusal& refusal,
                          const std::string& attempt_id);

// The body of a report to a host.
std::string WriteReport(const TargetReport& report);

// "cold", "ready", "leaving".
std::string_view ToString(TargetState state);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_SEARCHER_PROTOCOL_H_
