#include "knapweedroad/net/peer_connection.h"

#include <utility>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad::internal {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

error_code ReadExactly(asio::ip::tcp::socket& socket, std::string& into) {
  error_code error;
  FiberEvent read;
  asio::async_read(socket, asio::buffer(into), [&](error_code result, size_t) {
    error = result;
    read.Set();
  });
  read.Wait();
  return error;
}

}  // namespace

PeerConnection::PeerConnection(Runtime& runtime, asio::ip::tcp::socket socket)
    : runtime(runtime), socket(std::move(socket)) {
  error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

bool PeerConnection::Send(FrameHeader header, std::string_view body) {
  if (this->is_closed) {
    return false;
  }
  header.body_bytes = static_cast<uint32_t>(body.size());
  this->outgoing += EncodeBytes(header);
  this->outgoing += body;
  if (this->writing.empty()) {
    this->WriteNext();
  }
  return true;
}

void PeerConnection::WriteNext() {
  this->writing = std::exchange(this->outgoing, {});
  asio::async_write(
      this->socket, asio::buffer(this->writing),
      [self = this->shared_from_this()](error_code error, size_t) {
        self->writing.clear();
        if (error) {
          self->Close();
        } else if (!self->outgoing.empty()) {
          self->WriteNext();
        }
      });
}

void PeerConnection::ReadAll(
    const std::function<void(const FrameHeader&, std::string)>& on_frame) {
  std::string head(kFrameHeaderBytes, '\0');
  while (!this->is_closed) {
    if (ReadExactly(this->socket, head)) {
      break;
    }
    const auto header = DecodeBytes<FrameHeader>(head);
    if (!header || header->body_bytes > kMaxFrameBody) {
      break;
    }
    std::string body(header->body_bytes, '\0');
    if (!body.empty() && ReadExactly(this->socket, body)) {
      break;
    }
    on_frame(*header, std::move(body));
  }
  this->Close();
}

void PeerConnection::Close() {
  this->is_closed = true;
  error_code ignored;
  this->socket.close(ignored);
}

}  // namespace knapweedroad::internal
