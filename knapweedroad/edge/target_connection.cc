#include "knapweedroad/edge/target_connection.h"

#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/header_text.h"
#include "knapweedroad/edge/message_reader.h"
#include "knapweedroad/edge/socket_options.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/net/answer_status.h"
#include "knapweedroad/net/receive_budget.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kMaxHeaderBytes = 32 << 10;
// Interim answers, and answers to other requests, before the right one.
constexpr int kMostSkipped = 16;

}  // namespace

std::string_view ToString(ReplyKind kind) {
  switch (kind) {
    case ReplyKind::kAnswered:
      return "answered";
    case ReplyKind::kUnreachable:
      return "unreachable";
    case ReplyKind::kRejected:
      return "connection_rejected";
    case ReplyKind::kBroken:
      return "broken";
    case ReplyKind::kDisconnected:
      return "disconnected";
  }
  return "unknown";
}

TargetConnection::TargetConnection(asio::io_context& io,
                                   const HeaderNames& header_names,
                                   ReceiveBudget& budget,
                                   std::span<char> scratch)
    : socket(io),
      header_names(header_names),
      scratch(scratch),
      budget(budget) {}

TargetConnection::~TargetConnection() {
  this->DropReader();
}

std::shared_ptr<TargetConnection> TargetConnection::Make(
    asio::io_context& io,
    const HeaderNames& header_names,
    ReceiveBudget& budget,
    std::span<char> scratch) {
  return std::shared_ptr<TargetConnection>(
      new TargetConnection(io, header_names, budget, scratch));
}

void TargetConnection::Connect(const Endpoint& endpoint,
                               std::function<void(ConnectEnd)> done) {
  error_code error;
  const auto address = asio::ip::make_address(endpoint.ip, error);
  if (error) {
    asio::post(this->socket.get_executor(),
               [done = std::move(done)] { done(ConnectEnd::kFailed); });
    return;
  }
  this->socket.async_connect(
      tcp::endpoint(address, endpoint.port),
      [self = this->shared_from_this(),
       done = std::move(done)](const error_code& result) {
        if (result == asio::error::operation_aborted) {
          return;
        }
        if (result) {
          // A host without a listener refuses; a reset comes from one that
          // has taken the connection and dropped it.
          const bool is_reset = result == asio::error::connection_reset;
          done(is_reset ? ConnectEnd::kRejected : ConnectEnd::kFailed);
          return;
        }
        SetTargetSocketOptions(self->socket);
        self->last_used = Runtime::Now();
        self->is_reusable = true;
        done(ConnectEnd::kConnected);
      });
}

void TargetConnection::DropReader() {
  this->budget.Release(std::exchange(this->held_bytes, 0));
  this->reader.reset();
}

bool TargetConnection::CountHeldBytes() {
  const size_t held = this->reader->held_bytes();
  this->budget.Grow(held);
  this->budget.Release(std::exchange(this->held_bytes, held));
  return this->budget.MayHold(held);
}

bool TargetConnection::Skip() {
  this->NewReader();
  return ++this->skipped <= kMostSkipped;
}

void TargetConnection::NewReader() {
  this->DropReader();
  this->reader = std::make_unique<Reader>(kMaxHeaderBytes,
                                          this->question.max_answer_bytes);
}

void TargetConnection::Exchange(TargetQuestion asked, ReplyHandler done) {
  this->question = std::move(asked);
  this->on_done = std::move(done);
  this->on_idle_closed = nullptr;
  this->is_busy = true;
  this->is_written = false;
  this->is_reusable = false;
  this->skipped_left_over = false;
  this->skipped = 0;
  this->sent = Runtime::Now();
  this->NewReader();
  this->Write();
  this->AwaitBytes();
}

void TargetConnection::Write() {
  error_code error;
  const size_t written =
      this->socket.write_some(asio::buffer(this->question.bytes), error);
  if (!error && written == this->question.bytes.size()) {
    this->question.bytes = {};
    this->is_written = true;
    return;
  }
  if (error && error != asio::error::would_block) {
    // Reported by the read that follows: the answer may have come before.
    return;
  }
  this->question.bytes.erase(0, error ? 0 : written);
  asio::async_write(
      this->socket, asio::buffer(this->question.bytes),
      [self = this->shared_from_this()](const error_code& result, size_t) {
        self->question.bytes = {};
        self->is_written = !result;
      });
}

void TargetConnection::AwaitBytes() {
  if (this->is_waiting || !this->socket.is_open()) {
    return;
  }
  this->is_waiting = true;
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const error_code& error) {
        self->is_waiting = false;
        self->OnReadable(error);
      });
}

void TargetConnection::OnReadable(const error_code& error) {
  if (error || !this->socket.is_open()) {
    return;
  }
  error_code result;
  const size_t bytes = this->socket.read_some(
      asio::buffer(this->scratch.data(), this->scratch.size()), result);
  if (result == asio::error::would_block) {
    this->AwaitBytes();
    return;
  }
  if (!this->is_busy) {
    // The target has closed an idle connection, or sent what nobody asked for:
    // the next request would be lost, or get another one's answer.
    const auto closed = std::exchange(this->on_idle_closed, nullptr);
    this->Close();
    if (closed) {
      closed();
    }
    return;
  }
  if (!result) {
    this->Parse({this->scratch.data(), bytes});
    return;
  }
  if (result == asio::error::eof && this->reader->got_some() &&
      this->reader->need_eof() && this->reader->is_header_done()) {
    // An answer without a length ends with its connection.
    error_code ended;
    this->reader->put_eof(ended);
    if (!ended && !this->IsLeftOver()) {
      this->Finish(/*has_extra_bytes=*/true);
      return;
    }
  }
  this->Break(this->reader->got_some() ? ReplyKind::kBroken
                                       : ReplyKind::kDisconnected);
}

void TargetConnection::Parse(std::string_view bytes) {
  while (!bytes.empty()) {
    error_code error;
    const size_t used = this->reader->Put(bytes, error);
    bytes.remove_prefix(used);
    if (error || !this->CountHeldBytes()) {
      this->Break(ReplyKind::kBroken);
      return;
    }
    const bool is_interim =
        this->reader->is_header_done() && IsInterimStatus(this->reader->status);
    if (is_interim && this->HasFinalFields()) {
      this->Break(ReplyKind::kBroken);
      return;
    }
    if (!this->reader->is_done()) {
      break;
    }
    if (is_interim || this->IsLeftOver()) {
      this->skipped_left_over = this->skipped_left_over || !is_interim;
      if (!this->Skip()) {
        this->Break(ReplyKind::kBroken);
        return;
      }
      continue;
    }
    this->Finish(/*has_extra_bytes=*/!bytes.empty());
    return;
  }
  this->AwaitBytes();
}

bool TargetConnection::HasFinalFields() const {
  for (size_t i = 0; i < this->reader->lines(); ++i) {
    const std::string_view name = this->reader->name(i);
    if (IsSameName(name, "Content-Length") ||
        IsSameName(name, "Transfer-Encoding") ||
        IsSameName(name, this->header_names.seal)) {
      return true;
    }
  }
  return false;
}

bool TargetConnection::IsLeftOver() const {
  for (size_t i = 0; i < this->reader->lines(); ++i) {
    if (IsSameName(this->reader->name(i), this->header_names.request_id)) {
      return this->reader->value(i) != this->question.request_id;
    }
  }
  return false;
}

void TargetConnection::ReadLine(std::string_view name,
                                std::string_view value,
                                TargetReply& reply) {
  if (IsSameName(name, this->header_names.seal)) {
    reply.answer.seal = value;
  } else if (IsSameName(name, this->header_names.not_run)) {
    reply.says_not_run = true;
  } else if (IsSameName(name, this->header_names.load)) {
    const TargetLoadReport report = this->header_names.parse_load(value);
    reply.load = report.load;
    reply.has_malformed_load = report.is_malformed;
  } else if (IsSameName(name, this->header_names.target)) {
    reply.target = value;
  } else if (IsSameName(name, this->header_names.cold_left)) {
    reply.cold_left = this->header_names.parse_cold_left(value);
  } else if (IsSameName(name, "Keep-Alive")) {
    if (const auto seconds = KeepAliveSeconds(value)) {
      this->keep_alive = std::chrono::seconds(*seconds);
    }
  }
}

std::string TargetConnection::PassedOn() const {
  const Reader& from = *this->reader;
  std::string_view connection;
  for (size_t i = 0; i < from.lines(); ++i) {
    if (IsSameName(from.name(i), "Connection")) {
      connection = from.value(i);
    }
  }
  const HeaderNames& own = this->header_names;
  std::string header;
  for (size_t i = 0; i < from.lines(); ++i) {
    const std::string_view name = from.name(i);
    const bool is_read =
        IsSameName(name, own.not_run) || IsSameName(name, own.load) ||
        IsSameName(name, own.target) || IsSameName(name, own.cold_left);
    if (!is_read && !IsHopByHop(name, connection)) {
      AppendLine(header, name, from.value(i));
    }
  }
  return header;
}

TargetReply TargetConnection::Convert() {
  TargetReply reply{.kind = ReplyKind::kAnswered,
                    .latency = Runtime::Now() - this->sent};
  const Reader& from = *this->reader;
  reply.answer.status = from.status;
  reply.answer.body = std::move(this->reader->body);
  for (size_t i = 0; i < from.lines(); ++i) {
    this->ReadLine(from.name(i), from.value(i), reply);
  }
  if (this->question.wants_header) {
    reply.answer.header = this->PassedOn();
  }
  return reply;
}

// Only a connection on which everything was written and read, and nothing
// more came, is used again: bytes over an answer belong to no request.
void TargetConnection::Finish(bool has_extra_bytes) {
  TargetReply reply = this->Convert();
  this->is_reusable = !has_extra_bytes && this->is_written &&
                      this->reader->keep_alive() && !this->skipped_left_over;
  this->DropReader();
  this->is_busy = false;
  this->last_used = Runtime::Now();
  if (!this->is_reusable) {
    this->Close();
  }
  const auto done = std::exchange(this->on_done, nullptr);
  if (done) {
    done(std::move(reply));
  }
}

void TargetConnection::Break(ReplyKind kind) {
  const auto done = std::exchange(this->on_done, nullptr);
  this->Close();
  if (done) {
    done({.kind = kind});
  }
}

bool TargetConnection::IsQuiet() {
  error_code result;
  this->socket.read_some(
      asio::buffer(this->scratch.data(), this->scratch.size()), result);
  return result == asio::error::would_block;
}

void TargetConnection::WatchIdle(std::function<void()> closed) {
  this->on_idle_closed = std::move(closed);
  this->AwaitBytes();
}

void TargetConnection::Close() {
  this->is_reusable = false;
  this->is_busy = false;
  this->on_done = nullptr;
  this->on_idle_closed = nullptr;
  this->DropReader();
  error_code ignored;
  this->socket.close(ignored);
}

}  // namespace knapweedroad
