// Datagrams to and from other hosts.
//
//   UdpSocket socket(runtime, {.endpoint = own, .on_datagram = Hear});
//   socket.Start();
//   socket.Send(peer, bytes);

#ifndef KNAPWEEDROAD_NET_UDP_SOCKET_H_
#define KNAPWEEDROAD_NET_UDP_SOCKET_H_

#include <functional>
#include <memory>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/net_error.h"

namespace knapweedroad {

class Runtime;

// The largest datagram that is sent or read.
inline constexpr size_t kMaxDatagram = 60'000;

struct UdpSocketOptions {
  Endpoint endpoint;
  std::function<void(std::string_view bytes)> on_datagram;
};

class UdpSocket {
 public:
  UdpSocket(Runtime& runtime, UdpSocketOptions options);
  ~UdpSocket();

  // Binds and begins to read, in a fiber of its own.
  tl::expected<void, NetError> Start();

  // Sends without waiting; a datagram that can't leave now is lost, as any
  // may be. False where it was lost here.
  bool Send(const Endpoint& to, std::string_view bytes);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_UDP_SOCKET_H_
