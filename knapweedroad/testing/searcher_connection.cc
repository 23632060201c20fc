#include "knapweedroad/testing/searcher_connection.h"

#include <string>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace knapweedroad {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

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

// The whole answer as bytes, so that it can be cut off anywhere.
std::string Serialize(const HttpResponse& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                     std::string(http::obsolete_reason(
                         static_cast<http::status>(response.status))) +
                     "\r\n";
  for (const auto& [name, value] : response.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  if (response.close) {
    text += "Connection: close\r\n";
  }
  return text + "\r\n" + response.body;
}

}  // namespace

struct SearcherConnection::State {
  explicit State(tcp::socket socket)
      : socket(std::move(socket)), timer(this->socket.get_executor()) {}

  tcp::socket socket;
  asio::steady_timer timer;
  beast::flat_buffer buffer;
  std::unique_ptr<http::request_parser<http::string_body>> parser;
  SearcherConnectionHooks hooks;
  std::string output;
  bool silent = false;
  bool closed = false;
};

SearcherConnection::SearcherConnection(tcp::socket socket,
                                       SearcherConnectionHooks hooks)
    : state(std::make_unique<State>(std::move(socket))) {
  this->state->hooks = std::move(hooks);
  error_code ignored;
  this->state->socket.set_option(tcp::no_delay(true), ignored);
}

SearcherConnection::~SearcherConnection() = default;

void SearcherConnection::Start(Duration connect_cost) {
  if (connect_cost <= Duration::zero()) {
    this->ReadNext();
    return;
  }
  this->state->timer.expires_after(connect_cost);
  this->state->timer.async_wait(
      [self = this->shared_from_this()](error_code error) {
        if (!error) {
          self->ReadNext();
        }
      });
}

void SearcherConnection::ReadNext() {
  State& own = *this->state;
  if (own.silent || own.closed) {
    return;
  }
  own.parser = std::make_unique<http::request_parser<http::string_body>>();
  http::async_read(own.socket, own.buffer, *own.parser,
                   [self = this->shared_from_this()](error_code error, size_t) {
                     State& own = *self->state;
                     if (own.silent || own.closed) {
                       return;
                     }
                     if (error) {
                       self->Finish();
                       return;
                     }
                     own.hooks.on_request(self, Convert(own.parser->release()));
                   });
}

void SearcherConnection::Answer(const HttpResponse& response, bool truncated) {
  State& own = *this->state;
  if (own.silent || own.closed) {
    return;
  }
  own.output = Serialize(response);
  if (truncated) {
    own.output.resize(own.output.size() - response.body.size() / 2 - 1);
  }
  const bool last = truncated || response.close;
  asio::async_write(
      own.socket, asio::buffer(own.output),
      [self = this->shared_from_this(), last](error_code error, size_t) {
        if (error || last) {
          self->Finish();
        } else {
          self->ReadNext();
        }
      });
}

void SearcherConnection::GoSilent() {
  this->state->silent = true;
  error_code ignored;
  this->state->socket.cancel(ignored);
  this->state->timer.cancel();
}

void SearcherConnection::Close(bool reset) {
  if (reset) {
    error_code ignored;
    this->state->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  this->Finish();
}

void SearcherConnection::Finish() {
  State& own = *this->state;
  if (std::exchange(own.closed, true)) {
    return;
  }
  error_code ignored;
  own.timer.cancel();
  own.socket.close(ignored);
  own.hooks.on_closed(this->shared_from_this());
}

}  // namespace knapweedroad
