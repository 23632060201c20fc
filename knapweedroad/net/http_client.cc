#include "knapweedroad/net/http_client.h"

#include <sys/socket.h>

#include <deque>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "knapweedroad/net/answer_status.h"
#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// The parser limits the header, but neither a chunk's line nor the lines after
// the last chunk: what it hasn't taken yet waits here. Bodies don't.
constexpr size_t kMostUnparsedBytes = 64 << 10;
// Interim answers before the final one.
constexpr int kMostInterim = 16;

NetErrorKind KindOf(const error_code& error) {
  if (error == beast::error::timeout) {
    return NetErrorKind::kTimeout;
  }
  if (error == http::error::body_limit || error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return NetErrorKind::kTooLarge;
  }
  if (error == http::error::end_of_stream ||
      error == http::error::partial_message ||
      error.category() == asio::error::get_system_category() ||
      error.category() == asio::error::get_misc_category()) {
    return NetErrorKind::kClosed;
  }
  return NetErrorKind::kMalformed;
}

http::request<http::string_body> Convert(const HttpRequest& from) {
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(from.method);
  request.target(from.path);
  for (const auto& [name, value] : from.headers) {
    request.set(name, value);
  }
  request.body() = from.body;
  request.prepare_payload();
  return request;
}

HttpResponse Convert(http::response<http::string_body>&& from) {
  HttpResponse response{.status = static_cast<int>(from.result_int())};
  for (const auto& field : from) {
    response.headers.emplace(std::string(field.name_string()),
                             std::string(field.value()));
  }
  response.body = std::move(from.body());
  response.close = !from.keep_alive();
  return response;
}

}  // namespace

void HttpCancel::Cancel() {
  if (std::exchange(this->is_cancelled, true)) {
    return;
  }
  if (this->close) {
    this->close();
  }
}

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
  struct Connection {
    explicit Connection(asio::io_context& io) : stream(io) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer{kMostUnparsedBytes};
    bool has_served = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  // A fiber that waits for a place in the pool.
  struct Waiter {
    FiberEvent event;
    // What it was given: a connection, or the right to open one. Given away at
    // once and not left to whoever comes first, as then two would use one place
    // and the cap would be passed.
    std::shared_ptr<Connection> connection;
    bool has_place = false;
  };

  State(Runtime& runtime, HttpClientOptions options)
      : runtime(runtime), options(std::move(options)) {}

  tl::expected<ConnectionPtr, NetError> Acquire(TimePoint deadline,
                                                bool fresh,
                                                HttpCancel* cancel);
  ConnectionPtr TakeIdle();
  // A connection, or null for the right to open one.
  tl::expected<ConnectionPtr, NetError> WaitForPlace(TimePoint deadline,
                                                     HttpCancel* cancel);
  std::shared_ptr<Waiter> TakeWaiter();
  tl::expected<ConnectionPtr, NetError> Connect(TimePoint deadline,
                                                HttpCancel* cancel);
  tl::expected<HttpResponse, NetError> Exchange(Connection& connection,
                                                const HttpRequest& request,
                                                TimePoint deadline);
  void Release(ConnectionPtr connection);
  void Discard(const ConnectionPtr& connection);
  void GivePlace();

  Runtime& runtime;
  HttpClientOptions options;
  std::vector<ConnectionPtr> idle;
  std::deque<std::shared_ptr<Waiter>> waiters;
  size_t open = 0;
};

// An idle connection that the other end has closed would fail the request that
// is written to it, with nobody knowing whether it ran. A look at the socket
// shows the close (or bytes nobody asked for) while the request is still here.
bool IsQuiet(tcp::socket& socket) {
  char byte = 0;
  const ssize_t got =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

HttpClient::State::ConnectionPtr HttpClient::State::TakeIdle() {
  while (!this->idle.empty()) {
    ConnectionPtr connection = std::move(this->idle.back());
    this->idle.pop_back();
    if (IsQuiet(connection->stream.socket())) {
      return connection;
    }
    this->Discard(connection);
  }
  return nullptr;
}

std::shared_ptr<HttpClient::State::Waiter> HttpClient::State::TakeWaiter() {
  if (this->waiters.empty()) {
    return nullptr;
  }
  std::shared_ptr<Waiter> waiter = std::move(this->waiters.front());
  this->waiters.pop_front();
  return waiter;
}

tl::expected<HttpClient::State::ConnectionPtr, NetError>
HttpClient::State::WaitForPlace(TimePoint deadline, HttpCancel* cancel) {
  auto waiter = std::make_shared<Waiter>();
  this->waiters.push_back(waiter);
  asio::steady_timer timer(this->runtime.io(), deadline);
  timer.async_wait([waiter](error_code error) {
    if (!error) {
      waiter->event.Set();
    }
  });
  if (cancel != nullptr) {
    cancel->close = [waiter] { waiter->event.Set(); };
  }
  waiter->event.Wait();
  if (cancel != nullptr) {
    cancel->close = nullptr;
  }
  std::erase(this->waiters, waiter);
  if (waiter->connection != nullptr || waiter->has_place) {
    return std::move(waiter->connection);
  }
  const bool was_cancelled = cancel != nullptr && cancel->cancelled();
  return tl::unexpected(NetError{
      .kind = was_cancelled ? NetErrorKind::kCancelled : NetErrorKind::kTimeout,
      .detail = "no connection came free"});
}

tl::expected<HttpClient::State::ConnectionPtr, NetError>
HttpClient::State::Connect(TimePoint deadline, HttpCancel* cancel) {
  error_code error;
  const auto address = asio::ip::make_address(this->options.endpoint.ip, error);
  auto connection = std::make_shared<Connection>(this->runtime.io());
  if (!error) {
    FiberEvent connected;
    if (cancel != nullptr) {
      cancel->close = [connection] { connection->stream.close(); };
    }
    connection->stream.expires_at(deadline);
    connection->stream.async_connect(
        tcp::endpoint(address, this->options.endpoint.port),
        [&](error_code result) {
          error = result;
          connected.Set();
        });
    connected.Wait();
  }
  if (error) {
    this->GivePlace();
    const bool timed_out = error == beast::error::timeout;
    return tl::unexpected(NetError{
        .kind = timed_out ? NetErrorKind::kTimeout : NetErrorKind::kConnect,
        .detail = "connect: " + error.message()});
  }
  connection->stream.socket().set_option(tcp::no_delay(true), error);
  return connection;
}

tl::expected<HttpClient::State::ConnectionPtr, NetError>
HttpClient::State::Acquire(TimePoint deadline, bool fresh, HttpCancel* cancel) {
  if (!fresh) {
    if (ConnectionPtr connection = this->TakeIdle()) {
      return connection;
    }
  } else if (this->open >= this->options.max_connections &&
             !this->idle.empty()) {
    ConnectionPtr oldest = std::move(this->idle.front());
    this->idle.erase(this->idle.begin());
    this->Discard(oldest);
  }
  if (this->open >= this->options.max_connections) {
    auto place = this->WaitForPlace(deadline, cancel);
    if (!place) {
      return tl::unexpected(place.error());
    }
    if (*place != nullptr && !fresh) {
      return std::move(*place);
    }
    if (*place != nullptr) {
      // Its place is kept for the new one.
      (*place)->stream.close();
    }
    return this->Connect(deadline, cancel);
  }
  ++this->open;
  return this->Connect(deadline, cancel);
}

void HttpClient::State::GivePlace() {
  if (const auto waiter = this->TakeWaiter()) {
    waiter->has_place = true;
    waiter->event.Set();
    return;
  }
  --this->open;
}

void HttpClient::State::Discard(const ConnectionPtr& connection) {
  connection->stream.close();
  this->GivePlace();
}

void HttpClient::State::Release(ConnectionPtr connection) {
  connection->stream.expires_never();
  if (const auto waiter = this->TakeWaiter()) {
    waiter->connection = std::move(connection);
    waiter->event.Set();
    return;
  }
  this->idle.push_back(std::move(connection));
}

tl::expected<HttpResponse, NetError> HttpClient::State::Exchange(
    Connection& connection,
    const HttpRequest& request,
    TimePoint deadline) {
  const auto message = Convert(request);
  error_code error;
  size_t bytes = 0;
  connection.stream.expires_at(deadline);
  FiberEvent written;
  http::async_write(connection.stream, message,
                    [&](error_code result, size_t count) {
                      error = result;
                      bytes = count;
                      written.Set();
                    });
  written.Wait();
  if (error) {
    return tl::unexpected(
        NetError{.kind = KindOf(error),
                 .written = bytes > 0 || error == beast::error::timeout,
                 .reused_connection = connection.has_served,
                 .detail = "write: " + error.message()});
  }
  for (int interim = 0; interim <= kMostInterim; ++interim) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(this->options.max_body_bytes);
    FiberEvent read;
    http::async_read(connection.stream, connection.buffer, parser,
                     [&](error_code result, size_t) {
                       error = result;
                       read.Set();
                     });
    read.Wait();
    if (error) {
      return tl::unexpected(NetError{.kind = KindOf(error),
                                     .written = true,
                                     .reused_connection = connection.has_served,
                                     .detail = "read: " + error.message()});
    }
    const int status = static_cast<int>(parser.get().result_int());
    if (IsFinalStatus(status)) {
      return Convert(parser.release());
    }
    if (!IsInterimStatus(status)) {
      break;
    }
  }
  return tl::unexpected(NetError{.kind = NetErrorKind::kMalformed,
                                 .written = true,
                                 .reused_connection = connection.has_served,
                                 .detail = "read: no final status"});
}

HttpClient::HttpClient(Runtime& runtime, HttpClientOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

HttpClient::~HttpClient() {
  this->DropIdle();
}

tl::expected<HttpResponse, NetError> HttpClient::Send(
    HttpRequest request,
    TimePoint deadline,
    const HttpSendOptions& send_options) {
  const std::shared_ptr<State> state = this->state;
  HttpCancel* const cancel = send_options.cancel;
  const NetError given_up{.kind = NetErrorKind::kCancelled,
                          .detail = "given up before it was sent"};
  if (cancel != nullptr && cancel->cancelled()) {
    return tl::unexpected(given_up);
  }
  auto acquired =
      state->Acquire(deadline, send_options.fresh_connection, cancel);
  if (!acquired) {
    if (cancel != nullptr && cancel->cancelled()) {
      return tl::unexpected(given_up);
    }
    return tl::unexpected(acquired.error());
  }
  const State::ConnectionPtr connection = std::move(*acquired);
  if (cancel != nullptr) {
    if (cancel->cancelled()) {
      state->Release(connection);
      return tl::unexpected(given_up);
    }
    cancel->close = [connection] { connection->stream.close(); };
  }
  if (send_options.before_write && !send_options.before_write(request)) {
    if (cancel != nullptr) {
      cancel->close = nullptr;
    }
    state->Release(connection);
    return tl::unexpected(given_up);
  }
  auto response = state->Exchange(*connection, request, deadline);
  if (cancel != nullptr) {
    cancel->close = nullptr;
  }
  if (response && !response->close && connection->buffer.size() == 0) {
    connection->has_served = true;
    state->Release(connection);
    return response;
  }
  state->Discard(connection);
  if (!response && cancel != nullptr && cancel->cancelled()) {
    response.error().kind = NetErrorKind::kCancelled;
  }
  return response;
}

void HttpClient::DropIdle() {
  auto idle = std::move(this->state->idle);
  this->state->idle.clear();
  for (const auto& connection : idle) {
    this->state->Discard(connection);
  }
}

void HttpClient::SetMaxConnections(size_t most) {
  this->state->options.max_connections = most;
  while (this->state->open > most && !this->state->idle.empty()) {
    auto connection = std::move(this->state->idle.back());
    this->state->idle.pop_back();
    this->state->Discard(connection);
  }
}

size_t HttpClient::connections() const {
  return this->state->open;
}

}  // namespace knapweedroad
