#include "knapweedroad/edge/caller_server.h"

#include <criterion/criterion.h>

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Reads what has come, without blocking the thread.
void ReadAvailable(tcp::socket& socket, std::string& into) {
  std::array<char, 64 << 10> buffer{};
  boost::system::error_code error;
  const size_t bytes = socket.read_some(boost::asio::buffer(buffer), error);
  into.append(buffer.data(), error ? 0 : bytes);
}

size_t CountAnswers(const std::string& text) {
  size_t count = 0;
  for (size_t at = text.find("HTTP/1.1 401"); at != std::string::npos;
       at = text.find("HTTP/1.1 401", at + 1)) {
    ++count;
  }
  return count;
}

// Guards against a stack that grows with the pipelined requests of a caller
// where each is answered as soon as it has been read.
Test(caller_server, pipelined_requests_that_are_answered_at_once_do_not_nest) {
  constexpr size_t kRequests = 5000;
  Runtime runtime;
  const HeaderNames names;
  size_t answered = 0;
  runtime.Spawn([&] {
    CallerServer server(
        runtime, {.endpoint = {"127.0.0.1", 0},
                  .header_names = names,
                  .on_request =
                      [](const CallerRequest&,
                         const std::shared_ptr<CallerExchange>& exchange) {
                        exchange->Answer({.status = 401});
                      },
                  .limits = [] { return CallerLimits(); }});
    const uint16_t port = server.Start().value();
    tcp::socket socket(runtime.io());
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    socket.non_blocking(true);
    std::string requests;
    for (size_t i = 0; i < kRequests; ++i) {
      requests += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    std::string answers;
    const TimePoint until = Runtime::Now() + seconds(20);
    while (answered < kRequests && Runtime::Now() < until) {
      boost::system::error_code error;
      const size_t sent =
          requests.empty()
              ? 0
              : socket.write_some(boost::asio::buffer(requests), error);
      requests.erase(0, error ? 0 : sent);
      Runtime::SleepFor(milliseconds(1));
      ReadAvailable(socket, answers);
      answered = CountAnswers(answers);
    }
    socket.close();
    runtime.Stop();
  });
  runtime.Run();
  cr_assert_eq(answered, kRequests);
}

// Load pattern: many callers whose bodies never end, each below its limit.
// Together they take all memory; they are refused as not run, and small
// requests are served.
Test(caller_server, bodies_without_end_share_one_budget, .timeout = 60) {
  constexpr size_t kCallers = 300;
  constexpr size_t kBodyBytes = 250 << 10;
  Runtime runtime;
  const HeaderNames names;
  size_t refused = 0;
  std::string small;
  runtime.Spawn([&] {
    CallerServer server(
        runtime,
        {.endpoint = {"127.0.0.1", 0},
         .header_names = names,
         .on_request =
             [](const CallerRequest&,
                const std::shared_ptr<CallerExchange>& exchange) {
               exchange->Answer({.status = 401});
             },
         .limits = [] { return CallerLimits{.max_body_bytes = 1 << 20}; }});
    const uint16_t port = server.Start().value();
    const std::string bytes =
        "POST / HTTP/1.1\r\nHost: h\r\n"
        "Content-Length: 262144\r\n\r\n" +
        std::string(kBodyBytes, 'b');
    std::vector<tcp::socket> callers;
    for (size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back(runtime.io())
          .connect({boost::asio::ip::make_address("127.0.0.1"), port});
      callers.back().non_blocking(true);
      for (size_t sent = 0, tries = 0; sent < bytes.size() && tries < 50;
           ++tries) {
        boost::system::error_code error;
        sent += callers.back().write_some(
            boost::asio::buffer(bytes.data() + sent, bytes.size() - sent),
            error);
        Runtime::SleepFor(milliseconds(1));
      }
    }
    for (tcp::socket& caller : callers) {
      std::string answer;
      ReadAvailable(caller, answer);
      refused += answer.starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    tcp::socket caller(runtime.io());
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    caller.non_blocking(true);
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
    Runtime::SleepFor(milliseconds(50));
    ReadAvailable(caller, small);
    callers.clear();
    caller.close();
    runtime.Stop();
  });
  runtime.Run();
  // 40 MB of 250 KB each are read.
  cr_expect(refused > kCallers / 3, "%zu", refused);
  cr_expect(CountAnswers(small) == 1);
}

}  // namespace
}  // namespace knapweedroad
