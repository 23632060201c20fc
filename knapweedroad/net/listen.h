// Binding a TCP listener, for every server of this folder.

#ifndef KNAPWEEDROAD_NET_LISTEN_H_
#define KNAPWEEDROAD_NET_LISTEN_H_

#include <cstdint>
#include <functional>

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/net_error.h"

namespace knapweedroad::internal {

// Opens, binds and listens; the port, or the endpoint and why it can't be had.
tl::expected<uint16_t, NetError> Listen(
    boost::asio::ip::tcp::acceptor& acceptor,
    const Endpoint& endpoint);

// Accepts until `is_stopped`, which is asked after each; blocks the calling
// fiber. Each socket is handed to `on_socket`, which must not block.
void AcceptUntil(
    boost::asio::ip::tcp::acceptor& acceptor,
    const bool& is_stopped,
    const std::function<void(boost::asio::ip::tcp::socket)>& on_socket);

}  // namespace knapweedroad::internal

#endif  // KNAPWEEDROAD_NET_LISTEN_H_
