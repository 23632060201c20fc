// A peer for tests that sends without end, or so many bytes, and reads nothing.
//
//   EndlessSender sender(std::move(socket), "GET / HTTP/1.1\r\n");
//   sender.Send();

#ifndef KNAPWEEDROAD_NET_ENDLESS_SENDER_H_
#define KNAPWEEDROAD_NET_ENDLESS_SENDER_H_

#include <algorithm>
#include <cstddef>
#include <limits>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace knapweedroad {

// Sends `begin`, and then one piece again and again until the peer closes or
// `left` bytes have been sent.
struct EndlessSender {
  EndlessSender(boost::asio::ip::tcp::socket connection,
                const std::string& begin,
                size_t left = std::numeric_limits<size_t>::max())
      : socket(std::move(connection)), next(begin), left(left) {}

  void Send() {
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->next),
        [this](const boost::system::error_code& error, size_t count) {
          this->sent += count;
          this->is_cut = static_cast<bool>(error);
          const size_t piece = std::min(this->left, kPieceBytes);
          this->left -= piece;
          if (!this->is_cut && piece > 0) {
            this->next.assign(piece, 'b');
            this->Send();
          }
        });
  }

  static constexpr size_t kPieceBytes = 16 << 10;
  boost::asio::ip::tcp::socket socket;
  std::string next;
  size_t left = 0;
  size_t sent = 0;
  bool is_cut = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_ENDLESS_SENDER_H_
