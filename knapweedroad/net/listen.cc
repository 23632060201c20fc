#include "knapweedroad/net/listen.h"

#include <string>
#include <utility>

#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad::internal {

using boost::asio::ip::tcp;
using boost::system::error_code;

tl::expected<uint16_t, NetError> Listen(tcp::acceptor& acceptor,
                                        const Endpoint& endpoint) {
  error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.ip, error);
  const tcp::endpoint bound(address, endpoint.port);
  if (!error) {
    acceptor.open(bound.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(bound, error);
  }
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::unexpected(NetError{
        .kind = NetErrorKind::kConnect,
        .detail = "can't listen on " + endpoint.ip + ":" +
                  std::to_string(endpoint.port) + ": " + error.message()});
  }
  return acceptor.local_endpoint().port();
}

void AcceptUntil(tcp::acceptor& acceptor,
                 const bool& is_stopped,
                 const std::function<void(tcp::socket)>& on_socket) {
  constexpr Duration kPause = std::chrono::milliseconds(20);
  while (!is_stopped) {
    tcp::socket socket(acceptor.get_executor());
    error_code error;
    FiberEvent accepted;
    acceptor.async_accept(socket, [&](error_code result) {
      error = result;
      accepted.Set();
    });
    accepted.Wait();
    if (is_stopped) {
      return;
    }
    if (error) {
      // Out of descriptors shows here and passes; without the pause the loop
      // would take the whole thread and nothing could be closed.
      Runtime::SleepFor(kPause);
      continue;
    }
    on_socket(std::move(socket));
  }
}

}  // namespace knapweedroad::internal
