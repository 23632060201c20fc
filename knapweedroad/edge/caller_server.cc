#include "knapweedroad/edge/caller_server.h"

#include <array>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/caller_refusal.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/header_text.h"
#include "knapweedroad/edge/message_reader.h"
#include "knapweedroad/edge/socket_options.h"
#include "knapweedroad/net/listen.h"
#include "knapweedroad/net/receive_budget.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using internal::RequestReader;

// All connections of the thread read through this one buffer.
constexpr size_t kReadBytes = 32 << 10;
// A caller that takes no bytes of its answer for this long is given up on.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);
// A connection that answers last is closed after the caller had this long to
// close it: closing first would reset an answer that is still on its way.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
// Bytes of later requests kept while one is answered.
constexpr size_t kMostPipelined = 64 << 10;
// Of requests, and of answers that their callers haven't taken, on all
// connections; a usual request is always read.
constexpr size_t kMostHeldBytes = 40 << 20;
constexpr size_t kAlwaysHeldBytes = 16 << 10;
// A caller that takes no bytes for this long loses an answer for which there is
// no room.
constexpr Duration kWriteTimeoutWithoutRoom = std::chrono::seconds(1);
constexpr Duration kRetryWithoutRoom = std::chrono::milliseconds(300);
constexpr int kUnavailable = 503;

int StatusOf(const error_code& error) {
  if (error == http::error::body_limit) {
    return 413;
  }
  if (error == http::error::header_limit) {
    return 431;
  }
  return 400;
}

}  // namespace

struct CallerServer::State : std::enable_shared_from_this<CallerServer::State> {
  class Connection;

  State(Runtime& runtime, CallerServerOptions options)
      : runtime(runtime), options(std::move(options)), acceptor(runtime.io()) {}

  void Accept(tcp::socket socket);

  Runtime& runtime;
  CallerServerOptions options;
  tcp::acceptor acceptor;
  std::unordered_set<std::shared_ptr<Connection>> open;
  std::array<char, kReadBytes> scratch;
  ReceiveBudget memory{kMostHeldBytes, kAlwaysHeldBytes};
  size_t running = 0;
  bool is_draining = false;
  bool is_stopped = false;
};

class CallerServer::State::Connection
    : public CallerExchange,
      public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<State> server, tcp::socket socket)
      : server(std::move(server)),
        socket(std::move(socket)),
        memory(this->server->memory) {}

  void Start();
  void Answer(CallerAnswer answer) override;
  void Sweep(TimePoint now);
  void CloseIfIdle();
  void StopRequest();
  void Close();

 private:
  enum class Phase : uint8_t { kIdle, kReading, kRunning, kWriting, kLinger };

  void AwaitBytes();
  void OnReadable(const error_code& error);
  void Take(std::string_view bytes);
  void Parse();
  void Dispatch();
  void Refuse(int status);
  void Write(std::string bytes);
  void OnWritten(const error_code& error);
  void Enter(Phase next);

  std::shared_ptr<State> server;
  tcp::socket socket;
  Phase phase = Phase::kIdle;
  TimePoint since;
  bool is_waiting = false;
  bool closes = false;
  bool wants_close = false;
  // Bytes that are read and not yet parsed.
  std::string inbox;
  std::unique_ptr<RequestReader> reader;
  std::string outbox;
  BudgetShare memory;
  // Of the request that runs.
  size_t request_bytes = 0;
};

void CallerServer::State::Accept(tcp::socket socket) {
  SetCallerSocketOptions(socket);
  auto connection =
      std::make_shared<Connection>(this->shared_from_this(), std::move(socket));
  this->open.insert(connection);
  connection->Start();
}

void CallerServer::State::Connection::Start() {
  this->Enter(Phase::kIdle);
  this->AwaitBytes();
}

void CallerServer::State::Connection::Enter(Phase next) {
  const bool was_running = this->phase == Phase::kRunning;
  const bool is_running = next == Phase::kRunning;
  if (is_running && !was_running) {
    ++this->server->running;
  } else if (was_running && !is_running) {
    --this->server->running;
  }
  this->phase = next;
  this->since = Runtime::Now();
}

void CallerServer::State::Connection::AwaitBytes() {
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

void CallerServer::State::Connection::OnReadable(const error_code& error) {
  if (error || !this->socket.is_open()) {
    return;
  }
  error_code result;
  const size_t bytes =
      this->socket.read_some(asio::buffer(this->server->scratch), result);
  if (result == asio::error::would_block) {
    this->AwaitBytes();
    return;
  }
  if (result) {
    this->Close();
    return;
  }
  this->Take({this->server->scratch.data(), bytes});
}

void CallerServer::State::Connection::Take(std::string_view bytes) {
  if (this->phase == Phase::kLinger) {
    this->AwaitBytes();
    return;
  }
  this->inbox.append(bytes);
  if (this->phase == Phase::kRunning || this->phase == Phase::kWriting) {
    // Kept for after the answer; over the bounds the caller has to wait.
    const bool has_room = this->memory.Set(
        this->request_bytes + this->outbox.size() + this->inbox.size());
    if (has_room && this->inbox.size() < kMostPipelined) {
      this->AwaitBytes();
    }
    return;
  }
  this->Parse();
}

void CallerServer::State::Connection::Parse() {
  if (this->phase == Phase::kIdle) {
    if (this->inbox.empty()) {
      this->AwaitBytes();
      return;
    }
    this->Enter(Phase::kReading);
  }
  if (this->reader == nullptr) {
    const CallerLimits limits = this->server->options.limits();
    this->reader = std::make_unique<RequestReader>(limits.max_header_bytes,
                                                   limits.max_body_bytes);
  }
  error_code error;
  const size_t used = this->reader->Put(this->inbox, error);
  this->inbox.erase(0, used);
  if (error) {
    this->Refuse(StatusOf(error));
    return;
  }
  if (!this->memory.Set(this->reader->held_bytes() + this->inbox.size())) {
    this->Refuse(kUnavailable);
    return;
  }
  if (this->reader->is_done()) {
    this->Dispatch();
    return;
  }
  this->AwaitBytes();
}

void CallerServer::State::Connection::Dispatch() {
  const HeaderNames& header_names = this->server->options.header_names;
  RequestReader& from = *this->reader;
  CallerRequest request{.method = std::move(from.method),
                        .path = std::move(from.path),
                        .received = Runtime::Now()};
  std::string_view connection;
  for (size_t i = 0; i < from.lines(); ++i) {
    if (IsSameName(from.name(i), "Connection")) {
      connection = from.value(i);
    }
  }
  for (size_t i = 0; i < from.lines(); ++i) {
    const std::string_view name = from.name(i);
    const std::string_view value = from.value(i);
    if (IsSameName(name, "Host")) {
      request.host = value;
    } else if (IsSameName(name, header_names.request_id)) {
      request.id = value;
    } else if (IsSameName(name, header_names.time_left)) {
      if (const auto ms = ParseCount(value)) {
        request.time_left = std::chrono::milliseconds(
            std::min<uint64_t>(*ms, uint64_t{24} * 3600 * 1000));
      }
    } else if (!IsSameName(name, header_names.expected_target) &&
               !IsSameName(name, "Expect")) {
      const bool is_authorization = IsSameName(name, "Authorization");
      if (is_authorization) {
        request.authorization.emplace_back(value);
      }
      if (!IsHopByHop(name, connection)) {
        const bool is_of_account =
            is_authorization || IsSameName(name, header_names.account);
        AppendLine(is_of_account ? request.account_header : request.header,
                   name, value);
      }
    }
  }
  request.body = std::move(from.body);
  this->wants_close = !from.keep_alive();
  this->request_bytes = this->reader->held_bytes() + request.body.size();
  this->reader.reset();
  this->Enter(Phase::kRunning);
  // Watches for the caller's leaving while the request runs.
  this->AwaitBytes();
  this->server->options.on_request(std::move(request),
                                   this->shared_from_this());
}

void CallerServer::State::Connection::Refuse(int status) {
  this->reader.reset();
  this->inbox = {};
  this->memory.Set(0);
  this->wants_close = true;
  this->Enter(Phase::kRunning);
  this->Answer(status == kUnavailable ? MakeRefusal(status, kRetryWithoutRoom)
                                      : CallerAnswer{.status = status});
}

void CallerServer::State::Connection::Answer(CallerAnswer answer) {
  if (this->phase != Phase::kRunning || !this->socket.is_open()) {
    return;
  }
  this->on_abandoned = nullptr;
  this->on_stopped = nullptr;
  this->request_bytes = 0;
  this->closes =
      this->wants_close || answer.closes || this->server->is_draining;
  std::string bytes;
  bytes.reserve(answer.header.size() + answer.body.size() + 96);
  bytes += "HTTP/1.1 ";
  bytes += std::to_string(answer.status);
  bytes += ' ';
  bytes += ReasonPhrase(answer.status);
  bytes += "\r\n";
  bytes += answer.header;
  AppendLine(bytes, "Content-Length", std::to_string(answer.body.size()));
  if (this->closes) {
    AppendLine(bytes, "Connection", "close");
  }
  bytes += "\r\n";
  bytes += answer.body;
  this->Enter(Phase::kWriting);
  this->Write(std::move(bytes));
}

void CallerServer::State::Connection::Write(std::string bytes) {
  error_code error;
  const size_t written = this->socket.write_some(asio::buffer(bytes), error);
  if (!error && written == bytes.size()) {
    this->OnWritten({});
    return;
  }
  if (error && error != asio::error::would_block) {
    this->Close();
    return;
  }
  bytes.erase(0, error ? 0 : written);
  this->outbox = std::move(bytes);
  this->memory.Set(this->outbox.size() + this->inbox.size());
  asio::async_write(
      this->socket, asio::buffer(this->outbox),
      [self = this->shared_from_this()](const error_code& result, size_t) {
        self->outbox = {};
        self->OnWritten(result);
      });
}

void CallerServer::State::Connection::OnWritten(const error_code& error) {
  if (error) {
    this->Close();
    return;
  }
  if (this->closes) {
    error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->inbox = {};
    this->memory.Set(0);
    this->Enter(Phase::kLinger);
    this->AwaitBytes();
    return;
  }
  this->Enter(Phase::kIdle);
  this->memory.Set(this->inbox.size());
  if (this->inbox.empty()) {
    this->inbox = {};
    this->AwaitBytes();
    return;
  }
  // Posted, as requests that are answered at once would otherwise nest, and
  // the stack would grow with the number of pipelined requests.
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
    if (self->phase == Phase::kIdle && self->socket.is_open() &&
        !self->inbox.empty()) {
      self->Parse();
    }
  });
}

void CallerServer::State::Connection::Sweep(TimePoint now) {
  const CallerLimits limits = this->server->options.limits();
  const Duration age = now - this->since;
  switch (this->phase) {
    case Phase::kIdle:
      if (age > limits.idle_timeout) {
        this->Close();
      }
      return;
    case Phase::kReading:
      if (age > limits.header_timeout) {
        this->Refuse(408);
      }
      return;
    case Phase::kWriting:
      if (age > kWriteTimeout ||
          (age > kWriteTimeoutWithoutRoom &&
           !this->server->memory.MayHold(this->memory.held_bytes()))) {
        this->Close();
      }
      return;
    case Phase::kLinger:
      if (age > kLingerTimeout) {
        this->Close();
      }
      return;
    case Phase::kRunning:
      return;
  }
}

void CallerServer::State::Connection::CloseIfIdle() {
  if (this->phase == Phase::kIdle || this->phase == Phase::kLinger) {
    this->Close();
  }
}

void CallerServer::State::Connection::StopRequest() {
  if (this->phase != Phase::kRunning) {
    return;
  }
  if (const auto stopped = std::exchange(this->on_stopped, nullptr)) {
    stopped();
  }
}

void CallerServer::State::Connection::Close() {
  if (!this->socket.is_open()) {
    return;
  }
  error_code ignored;
  this->socket.close(ignored);
  this->memory.Set(0);
  const auto abandoned = std::exchange(this->on_abandoned, nullptr);
  this->on_stopped = nullptr;
  this->Enter(Phase::kIdle);
  const auto self = this->shared_from_this();
  this->server->open.erase(self);
  if (abandoned) {
    abandoned();
  }
}

CallerServer::CallerServer(Runtime& runtime, CallerServerOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

CallerServer::~CallerServer() {
  this->state->is_stopped = true;
  error_code ignored;
  this->state->acceptor.close(ignored);
  const auto open = this->state->open;
  for (const auto& connection : open) {
    connection->Close();
  }
}

tl::expected<uint16_t, NetError> CallerServer::Start() {
  auto port =
      internal::Listen(this->state->acceptor, this->state->options.endpoint);
  if (port) {
    this->state->runtime.Spawn([state = this->state] {
      internal::AcceptUntil(
          state->acceptor, state->is_stopped,
          [&](tcp::socket socket) { state->Accept(std::move(socket)); });
    });
  }
  return port;
}

void CallerServer::StartDraining() {
  this->state->is_draining = true;
}

void CallerServer::CloseIdle() {
  const auto open = this->state->open;
  for (const auto& connection : open) {
    connection->CloseIfIdle();
  }
}

void CallerServer::StopRunning() {
  const auto open = this->state->open;
  for (const auto& connection : open) {
    connection->StopRequest();
  }
}

void CallerServer::Sweep(TimePoint now) {
  const auto open = this->state->open;
  for (const auto& connection : open) {
    connection->Sweep(now);
  }
}

size_t CallerServer::connections() const {
  return this->state->open.size();
}

size_t CallerServer::running() const {
  return this->state->running;
}

}  // namespace knapweedroad
