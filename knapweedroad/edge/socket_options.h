// Socket options of the connections to callers and to targets.

#ifndef KNAPWEEDROAD_EDGE_SOCKET_OPTIONS_H_
#define KNAPWEEDROAD_EDGE_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace knapweedroad {

void SetCallerSocketOptions(boost::asio::ip::tcp::socket& socket);
void SetTargetSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_SOCKET_OPTIONS_H_
