#include "knapweedroad/net/peer_connection.h"

#include <algorithm>
#include <span>
#include <utility>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/receive_budget.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad::internal {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// A body's memory is taken as its bytes come: its length may lie.
constexpr size_t kBodyStep = 64 << 10;
// Frames that the other host hasn't read; two of the longest.
constexpr size_t kMostUnread = 2 * size_t{kMaxFrameBody};

error_code ReadExactly(asio::ip::tcp::socket& socket, std::span<char> into) {
  error_code error;
  FiberEvent read;
  const asio::mutable_buffer buffer(into.data(), into.size());
  asio::async_read(socket, buffer, [&](error_code result, size_t) {
    error = result;
    read.Set();
  });
  read.Wait();
  return error;
}

}  // namespace

PeerConnection::PeerConnection(Runtime& runtime, asio::ip::tcp::socket socket)
    : runtime(runtime),
      socket(std::move(socket)),
      unread(runtime.unread_budget()) {
  error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

bool PeerConnection::Send(FrameHeader header, std::string_view body) {
  if (this->is_closed) {
    return false;
  }
  const size_t waiting = this->outgoing.size() + this->writing.size();
  if (!this->unread.Set(waiting) || waiting > kMostUnread) {
    LogLine("peer_reads_nothing").Add("unread", waiting).Warning();
    this->Close();
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
        self->writing = {};
        self->unread.Set(self->outgoing.size());
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
    auto body = this->ReadBody(header->body_bytes);
    if (!body) {
      break;
    }
    on_frame(*header, *std::move(body));
  }
  this->Close();
}

std::optional<std::string> PeerConnection::ReadBody(size_t bytes) {
  std::string body;
  BudgetShare share(this->runtime.frame_budget());
  while (body.size() < bytes) {
    const size_t begin = body.size();
    body.resize(std::min(bytes, begin + kBodyStep));
    if (!share.Set(body.size())) {
      LogLine("peer_frames_too_large").Add("bytes", bytes).Warning();
      return std::nullopt;
    }
    if (ReadExactly(this->socket, std::span(body).subspan(begin))) {
      return std::nullopt;
    }
  }
  return body;
}

void PeerConnection::Close() {
  this->is_closed = true;
  this->outgoing = {};
  this->unread.Set(this->writing.size());
  error_code ignored;
  this->socket.close(ignored);
}

}  // namespace knapweedroad::internal
