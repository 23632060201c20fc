// A target for tests that answers each request with the same bytes.
//
//   RawTarget target(runtime, "HTTP/1.1 600 X\r\n\r\n");
//   links.Send({.address = target.address(), ...}, done);

#ifndef KNAPWEEDROAD_EDGE_RAW_TARGET_H_
#define KNAPWEEDROAD_EDGE_RAW_TARGET_H_

#include <memory>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {

// Takes requests without a body, and keeps connections open.
class RawTarget {
 public:
  RawTarget(Runtime& runtime, std::string answer)
      : answer(std::move(answer)),
        acceptor(runtime.io(),
                 Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    this->Accept();
  }

  Endpoint address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

  // How many requests had this text in their header.
  std::string counted_text;
  int requests = 0;

 private:
  using Tcp = boost::asio::ip::tcp;

  struct Peer {
    explicit Peer(Tcp::socket taken) : socket(std::move(taken)) {}
    Tcp::socket socket;
    boost::asio::streambuf read;
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](const boost::system::error_code& error, Tcp::socket taken) {
          if (!error) {
            this->Read(std::make_shared<Peer>(std::move(taken)));
            this->Accept();
          }
        });
  }

  void Read(const std::shared_ptr<Peer>& peer) {
    boost::asio::async_read_until(
        peer->socket, peer->read, "\r\n\r\n",
        [this, peer](const boost::system::error_code& error, size_t bytes) {
          if (error) {
            return;
          }
          const std::string header(
              static_cast<const char*>(peer->read.data().data()), bytes);
          peer->read.consume(bytes);
          const bool counts =
              header.find(this->counted_text) != std::string::npos;
          this->requests += counts ? 1 : 0;
          boost::system::error_code ignored;
          boost::asio::write(peer->socket, boost::asio::buffer(this->answer),
                             ignored);
          this->Read(peer);
        });
  }

  std::string answer;
  Tcp::acceptor acceptor;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_RAW_TARGET_H_
