#include "knapweedroad/net/http_server.h"

#include <unordered_set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/listen.h"
#include "knapweedroad/net/receive_budget.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// A request's first bytes are read into a buffer of this size.
constexpr size_t kFirstReadBytes = 8 << 10;
// The parser limits the header, but neither a chunk's line nor the lines after
// the last chunk: what it hasn't taken yet waits here. Bodies don't.
constexpr size_t kMostUnparsedBytes = 64 << 10;
// Of requests that are being received or answered, on all connections; smaller
// ones, as those of targets, are always read.
constexpr size_t kMostBodyBytes = 32 << 20;
constexpr size_t kAlwaysHeldBytes = 16 << 10;
// How long writing an answer may take before the reader is given up on.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);

HttpResponse ProblemFor(int status, std::string_view detail) {
  HttpResponse response{.status = status, .close = true};
  response.headers["Content-Type"] = "application/problem+json";
  response.headers["Knapweed-Outcome"] = "not_run";
  response.body =
      "{\"type\":\"about:blank\",\"title\":\"Bad request\","
      "\"status\":" +
      std::to_string(status) + ",\"detail\":\"" + std::string(detail) +
      "\",\"outcome\":\"not_run\"}";
  return response;
}

HttpResponse ProblemFor(const error_code& error) {
  if (error == http::error::body_limit) {
    return ProblemFor(413, "the body is over its size limit");
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return ProblemFor(431, "the header is over its size limit");
  }
  if (error == asio::error::no_memory) {
    HttpResponse response =
        ProblemFor(503, "too many large requests come at once");
    response.headers["Retry-After"] = "0.3";
    return response;
  }
  if (error == beast::error::timeout) {
    return ProblemFor(408, "the request did not come whole in time");
  }
  return ProblemFor(400, "the request is not well-formed HTTP/1.1");
}

HttpRequest Convert(http::request<http::string_body>&& from) {
  HttpRequest request;
  request.method = std::string(from.method_string());
  request.path = std::string(from.target());
  for (const auto& field : from) {
    request.headers.emplace(std::string(field.name_string()),
                            std::string(field.value()));
  }
  request.body = std::move(from.body());
  return request;
}

// Calls `on_closed` once when the peer closes while its request runs.
struct AbandonWatch {
  std::function<void()> on_closed;
  bool is_over = false;
};

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  struct Connection {
    explicit Connection(tcp::socket socket) : stream(std::move(socket)) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer{kMostUnparsedBytes};
    bool busy = false;
  };

  State(Runtime& runtime, HttpServerOptions options)
      : runtime(runtime), options(std::move(options)), acceptor(runtime.io()) {}

  void Accept(tcp::socket socket);
  void Serve(const std::shared_ptr<Connection>& connection);
  bool ServeOne(const std::shared_ptr<Connection>& connection);
  error_code ReadFirstBytes(Connection& connection);
  error_code ReadWhole(Connection& connection,
                       http::request_parser<http::string_body>& parser,
                       BudgetShare& share);
  HttpResponse Handle(const std::shared_ptr<Connection>& connection,
                      const HttpRequest& request,
                      TimePoint received);
  bool Write(Connection& connection, HttpResponse response, bool keep_alive);
  void CloseIdle();

  Runtime& runtime;
  HttpServerOptions options;
  tcp::acceptor acceptor;
  ReceiveBudget bodies{kMostBodyBytes, kAlwaysHeldBytes};
  std::unordered_set<std::shared_ptr<Connection>> open;
  size_t peak = 0;
  size_t refused = 0;
  size_t running = 0;
  bool is_draining = false;
  bool is_stopped = false;
  FiberEvent* all_answered = nullptr;
};

void HttpServer::State::Accept(tcp::socket socket) {
  if (this->options.max_connections != 0 &&
      this->open.size() >= this->options.max_connections) {
    ++this->refused;
    return;
  }
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto connection = std::make_shared<Connection>(std::move(socket));
  this->open.insert(connection);
  this->peak = std::max(this->peak, this->open.size());
  this->runtime.Spawn([self = this->shared_from_this(), connection] {
    self->Serve(connection);
  });
}

void HttpServer::State::Serve(const std::shared_ptr<Connection>& connection) {
  while (!this->is_stopped && this->ServeOne(connection)) {
  }
  error_code ignored;
  connection->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  connection->stream.close();
  this->open.erase(connection);
}

error_code HttpServer::State::ReadFirstBytes(Connection& connection) {
  if (connection.buffer.size() > 0) {
    return {};
  }
  error_code error;
  FiberEvent read;
  connection.stream.expires_after(this->options.idle_timeout);
  connection.stream.async_read_some(connection.buffer.prepare(kFirstReadBytes),
                                    [&](error_code result, size_t bytes) {
                                      error = result;
                                      connection.buffer.commit(bytes);
                                      read.Set();
                                    });
  read.Wait();
  return error;
}

error_code HttpServer::State::ReadWhole(
    Connection& connection,
    http::request_parser<http::string_body>& parser,
    BudgetShare& share) {
  connection.stream.expires_after(this->options.read_timeout);
  error_code error;
  while (!error && !parser.is_done()) {
    FiberEvent read;
    http::async_read_some(connection.stream, connection.buffer, parser,
                          [&](error_code result, size_t) {
                            error = result;
                            read.Set();
                          });
    read.Wait();
    if (!error && !share.Set(parser.get().body().size())) {
      error = asio::error::no_memory;
    }
  }
  return error;
}

bool HttpServer::State::ServeOne(
    const std::shared_ptr<Connection>& connection) {
  connection->busy = false;
  if (this->ReadFirstBytes(*connection)) {
    return false;
  }
  const TimePoint received = Runtime::Now();
  connection->busy = true;
  ++this->running;
  http::request_parser<http::string_body> parser;
  parser.body_limit(this->options.max_body_bytes);
  parser.header_limit(static_cast<uint32_t>(this->options.max_header_bytes));
  // Held until the answer is written: the handler keeps the body as long.
  BudgetShare share(this->bodies);
  const error_code error = this->ReadWhole(*connection, parser, share);
  bool keep = false;
  if (!error) {
    const bool wants_keep = parser.keep_alive();
    HttpResponse response =
        this->Handle(connection, Convert(parser.release()), received);
    keep = wants_keep && !response.close && !this->is_draining &&
           !this->is_stopped;
    keep = this->Write(*connection, std::move(response), keep) && keep;
  } else if (error != http::error::end_of_stream &&
             error != asio::error::connection_reset) {
    this->Write(*connection, ProblemFor(error), false);
  }
  --this->running;
  if (this->running == 0 && this->all_answered != nullptr) {
    this->all_answered->Set();
  }
  return keep;
}

HttpResponse HttpServer::State::Handle(
    const std::shared_ptr<Connection>& connection,
    const HttpRequest& request,
    TimePoint received) {
  HttpExchange exchange{.received = received};
  auto watch = std::make_shared<AbandonWatch>();
  watch->on_closed = [&exchange, this] {
    if (exchange.on_abandoned) {
      this->runtime.Spawn(std::exchange(exchange.on_abandoned, nullptr));
    }
  };
  connection->stream.socket().async_wait(
      tcp::socket::wait_read, [watch, connection](error_code error) {
        error_code ignored;
        const bool has_data =
            connection->stream.socket().available(ignored) > 0;
        if (!watch->is_over && !error && !has_data) {
          watch->on_closed();
        }
      });
  HttpResponse response = this->options.handler(request, exchange);
  watch->is_over = true;
  error_code ignored;
  connection->stream.socket().cancel(ignored);
  return response;
}

bool HttpServer::State::Write(Connection& connection,
                              HttpResponse response,
                              bool keep_alive) {
  http::response<http::string_body> message(
      static_cast<http::status>(response.status), 11);
  for (const auto& [name, value] : response.headers) {
    message.set(name, value);
  }
  if (message.find(http::field::content_type) == message.end()) {
    message.set(http::field::content_type, "application/json");
  }
  message.body() = std::move(response.body);
  message.keep_alive(keep_alive);
  message.prepare_payload();
  error_code error;
  FiberEvent written;
  connection.stream.expires_after(kWriteTimeout);
  http::async_write(connection.stream, message, [&](error_code result, size_t) {
    error = result;
    written.Set();
  });
  written.Wait();
  return !error;
}

void HttpServer::State::CloseIdle() {
  for (const auto& connection : this->open) {
    if (!connection->busy) {
      connection->stream.cancel();
    }
  }
}

HttpServer::HttpServer(Runtime& runtime, HttpServerOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

HttpServer::~HttpServer() {
  this->state->is_stopped = true;
  error_code ignored;
  this->state->acceptor.close(ignored);
  for (const auto& connection : this->state->open) {
    connection->stream.cancel();
  }
}

tl::expected<uint16_t, NetError> HttpServer::Start() {
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

void HttpServer::StartDraining() {
  this->state->is_draining = true;
}

void HttpServer::Stop(TimePoint deadline) {
  this->state->is_draining = true;
  this->state->is_stopped = true;
  error_code ignored;
  this->state->acceptor.close(ignored);
  this->state->CloseIdle();
  if (this->state->running == 0) {
    return;
  }
  FiberEvent ended;
  this->state->all_answered = &ended;
  asio::steady_timer timer(this->state->runtime.io(), deadline);
  timer.async_wait([state = this->state](error_code error) {
    if (!error && state->all_answered != nullptr) {
      state->all_answered->Set();
    }
  });
  ended.Wait();
  this->state->all_answered = nullptr;
}

size_t HttpServer::connections() const {
  return this->state->open.size();
}

size_t HttpServer::peak_connections() const {
  return this->state->peak;
}

size_t HttpServer::refused_connections() const {
  return this->state->refused;
}

}  // namespace knapweedroad
