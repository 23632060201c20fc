#include "review/stand_ins/operator.h"

#include <thread>
#include <utility>

#include "review/stand_ins/connection.h"

namespace review {
namespace {

// Callers of control move on after a second without a response.
constexpr Milliseconds kResponseTimeout(1000);
constexpr Milliseconds kFirstPause(100);
constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;

}  // namespace

Operator::Operator(std::vector<Endpoint> control, Record& record)
    : control(std::move(control)), record(record) {}

std::optional<TimePoint> Operator::Order(const HttpMessage& order,
                                         size_t first_host,
                                         Milliseconds resend_for) {
  const TimePoint give_up = Clock::now() + resend_for;
  Milliseconds pause = kFirstPause;
  for (size_t i = first_host; Clock::now() < give_up; ++i) {
    const Endpoint& host = this->control[i % this->control.size()];
    HttpMessage call = order;
    call.headers["host"] = host.ToString();
    call.headers["connection"] = "close";
    const std::string what = order.method + " " + order.path;
    this->record.Add("operator sends " + what + " to " + host.ToString());
    // The connection is closed when the call returns, answered or not.
    const auto answer = Call(host, call, kResponseTimeout);
    const TimePoint now = Clock::now();
    this->record.Add(
        "operator gets " +
        (answer ? std::to_string(answer->status) : std::string("no response")) +
        " to " + what + " from " + host.ToString());
    if (answer && answer->status >= kOk && answer->status < kMultipleChoices) {
      return now;
    }
    std::this_thread::sleep_for(pause);
    pause *= 2;
  }
  return std::nullopt;
}

}  // namespace review
