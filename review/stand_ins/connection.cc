#include "review/stand_ins/connection.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <memory>

namespace review {
namespace {

constexpr size_t kReadBytes = 16 << 10;

int MillisecondsUntil(TimePoint deadline) {
  const auto left =
      std::chrono::ceil<Milliseconds>(deadline - Clock::now()).count();
  return static_cast<int>(std::max<int64_t>(left, 0));
}

bool WaitFor(int socket, int16_t events, TimePoint deadline) {
  pollfd waited{.fd = socket, .events = events, .revents = 0};
  return poll(&waited, 1, MillisecondsUntil(deadline)) > 0;
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
  });
  return text;
}

// Reads the first line and the header lines.
HttpMessage ParseHead(const std::string& head) {
  HttpMessage message;
  const size_t line_end = head.find("\r\n");
  const std::string first = head.substr(0, line_end);
  const size_t space = first.find(' ');
  const size_t second_space = first.find(' ', space + 1);
  const std::string middle = first.substr(space + 1, second_space - space - 1);
  if (first.starts_with("HTTP/")) {
    message.status = std::atoi(middle.c_str());
  } else {
    message.method = first.substr(0, space);
    message.path = middle;
  }
  size_t at = line_end + 2;
  while (at < head.size()) {
    const size_t end = head.find("\r\n", at);
    const size_t colon = head.find(':', at);
    if (end == std::string::npos || end == at || colon > end) {
      break;
    }
    const size_t value = head.find_first_not_of(' ', colon + 1);
    message.headers[ToLower(head.substr(at, colon - at))] =
        value < end ? head.substr(value, end - value) : std::string();
    at = end + 2;
  }
  return message;
}

}  // namespace

Connection::~Connection() {
  close(this->socket);
}

std::unique_ptr<Connection> Connection::Open(const Endpoint& endpoint,
                                             TimePoint deadline) {
  const int opened =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(opened);
  const int on = 1;
  setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  if (connect(opened, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    if (errno != EINPROGRESS || !WaitFor(opened, POLLOUT, deadline)) {
      return nullptr;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(opened, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      return nullptr;
    }
  }
  return connection;
}

bool Connection::Send(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(this->socket, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<size_t>(count);
    } else if (errno != EAGAIN || !WaitFor(this->socket, POLLOUT,
                                           Clock::now() + Milliseconds(1000))) {
      return false;
    }
  }
  return true;
}

bool Connection::ReadMore(TimePoint deadline) {
  if (!WaitFor(this->socket, POLLIN, deadline)) {
    return false;
  }
  std::array<char, kReadBytes> buffer;
  const ssize_t count = ::recv(this->socket, buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    this->is_closed = true;
    return false;
  }
  this->inbox.append(buffer.data(), static_cast<size_t>(count));
  return true;
}

std::optional<HttpMessage> Connection::Receive(TimePoint deadline) {
  constexpr size_t kEndBytes = 4;
  size_t end = this->inbox.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!this->ReadMore(deadline)) {
      return std::nullopt;
    }
    end = this->inbox.find("\r\n\r\n");
  }
  HttpMessage message = ParseHead(this->inbox.substr(0, end + kEndBytes));
  const size_t length =
      std::strtoull(message.Header("content-length").c_str(), nullptr, 10);
  while (this->inbox.size() < end + kEndBytes + length) {
    if (!this->ReadMore(deadline)) {
      return std::nullopt;
    }
  }
  message.body = this->inbox.substr(end + kEndBytes, length);
  this->inbox.erase(0, end + kEndBytes + length);
  return message;
}

std::optional<HttpMessage> Call(const Endpoint& endpoint,
                                const HttpMessage& request,
                                Milliseconds timeout) {
  const TimePoint deadline = Clock::now() + timeout;
  const auto connection = Connection::Open(endpoint, deadline);
  if (connection == nullptr || !connection->Send(EncodeRequest(request))) {
    return std::nullopt;
  }
  return connection->Receive(deadline);
}

}  // namespace review
