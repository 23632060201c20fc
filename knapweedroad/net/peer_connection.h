// Frames over one TCP connection, for both ends of a peer link.

#ifndef KNAPWEEDROAD_NET_PEER_CONNECTION_H_
#define KNAPWEEDROAD_NET_PEER_CONNECTION_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "knapweedroad/net/receive_budget.h"
#include "knapweedroad/wire/frame_header.h"

namespace knapweedroad {

class Runtime;

namespace internal {

// Writes are gathered: while one is under way, further frames wait and leave
// together in the next.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  PeerConnection(Runtime& runtime, boost::asio::ip::tcp::socket socket);

  // Queues a frame; never blocks. False once the connection is closed, as it is
  // when the other host reads too little.
  bool Send(FrameHeader header, std::string_view body);

  // Reads frames until the connection ends; blocks the calling fiber.
  void ReadAll(
      const std::function<void(const FrameHeader&, std::string)>& on_frame);

  void Close();
  bool closed() const { return this->is_closed; }

 private:
  void WriteNext();
  // Nothing: the connection has ended, or too much is being received.
  std::optional<std::string> ReadBody(size_t bytes);

  Runtime& runtime;
  boost::asio::ip::tcp::socket socket;
  std::string outgoing;
  std::string writing;
  BudgetShare unread;
  bool is_closed = false;
};

}  // namespace internal
}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_PEER_CONNECTION_H_
