#include "knapweedroad/edge/socket_options.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace knapweedroad {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

// Without a bound a connection to a host that lost its power, or is cut off,
// hangs for minutes: no packet says so. The kernel ends one whose bytes aren't
// acknowledged for this long.
constexpr int kCallerUserTimeoutMs = 8000;
constexpr int kTargetUserTimeoutMs = 3000;

void SetCommon(tcp::socket& socket, int user_timeout_ms) {
  error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(UserTimeout(user_timeout_ms), ignored);
}

}  // namespace

void SetCallerSocketOptions(tcp::socket& socket) {
  SetCommon(socket, kCallerUserTimeoutMs);
}

void SetTargetSocketOptions(tcp::socket& socket) {
  SetCommon(socket, kTargetUserTimeoutMs);
}

}  // namespace knapweedroad
