#include "knapweedroad/net/listen.h"

#include <string>

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

}  // namespace knapweedroad::internal
