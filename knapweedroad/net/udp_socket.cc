#include "knapweedroad/net/udp_socket.h"

#include <string>
#include <utility>

#include <boost/asio/ip/udp.hpp>

#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

}  // namespace

struct UdpSocket::State : std::enable_shared_from_this<UdpSocket::State> {
  State(Runtime& runtime, UdpSocketOptions options)
      : runtime(runtime), options(std::move(options)), socket(runtime.io()) {}

  void ReadLoop();

  Runtime& runtime;
  UdpSocketOptions options;
  udp::socket socket;
  bool is_stopped = false;
};

void UdpSocket::State::ReadLoop() {
  std::string buffer(kMaxDatagram, '\0');
  while (!this->is_stopped) {
    error_code error;
    size_t bytes = 0;
    FiberEvent read;
    udp::endpoint from;
    this->socket.async_receive_from(asio::buffer(buffer), from,
                                    [&](error_code result, size_t count) {
                                      error = result;
                                      bytes = count;
                                      read.Set();
                                    });
    read.Wait();
    // An error here is of an earlier send (nobody listens there).
    if (!this->is_stopped && !error) {
      this->options.on_datagram(std::string_view(buffer).substr(0, bytes));
    }
  }
}

UdpSocket::UdpSocket(Runtime& runtime, UdpSocketOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

UdpSocket::~UdpSocket() {
  this->state->is_stopped = true;
  error_code ignored;
  this->state->socket.close(ignored);
}

tl::expected<void, NetError> UdpSocket::Start() {
  error_code error;
  const Endpoint& endpoint = this->state->options.endpoint;
  const auto address = asio::ip::make_address(endpoint.ip, error);
  const udp::endpoint bound(address, endpoint.port);
  if (!error) {
    this->state->socket.open(bound.protocol(), error);
  }
  if (!error) {
    this->state->socket.bind(bound, error);
  }
  if (!error) {
    this->state->socket.non_blocking(true, error);
  }
  if (error) {
    return tl::unexpected(NetError{
        .kind = NetErrorKind::kConnect,
        .detail = "can't bind UDP " + endpoint.ip + ":" +
                  std::to_string(endpoint.port) + ": " + error.message()});
  }
  this->state->runtime.Spawn([state = this->state] { state->ReadLoop(); });
  return {};
}

bool UdpSocket::Send(const Endpoint& to, std::string_view bytes) {
  error_code error;
  const auto address = asio::ip::make_address(to.ip, error);
  if (!error) {
    this->state->socket.send_to(asio::buffer(bytes.data(), bytes.size()),
                                udp::endpoint(address, to.port), 0, error);
  }
  return !error;
}

}  // namespace knapweedroad
