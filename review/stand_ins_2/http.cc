#include "review/stand_ins_2/http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <sstream>

namespace review {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool WaitFor(int socket, int16_t events, Clock::time_point until) {
  const auto left =
      duration_cast<milliseconds>(until - Clock::now()).count() + 1;
  pollfd ask{.fd = socket, .events = events, .revents = 0};
  return left > 0 && poll(&ask, 1, static_cast<int>(left)) > 0;
}

Message ParseHead(const std::string& head) {
  Message message;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  std::istringstream first(line);
  first >> message.method >> message.path;
  message.status = std::atoi(message.path.c_str());
  while (std::getline(lines, line)) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const size_t begin = line.find_first_not_of(' ', colon + 1);
    const size_t end = line.find_last_not_of("\r\n ");
    message.headers[Lower(line.substr(0, colon))] =
        begin == std::string::npos || end < begin
            ? std::string()
            : line.substr(begin, end - begin + 1);
  }
  return message;
}

}  // namespace

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Message::Header(const std::string& name) const {
  const auto found = this->headers.find(Lower(name));
  return found == this->headers.end() ? std::string() : found->second;
}

Connection::~Connection() {
  close(this->socket);
}

std::optional<int> Connection::Connect(const std::string& ip,
                                       uint16_t port,
                                       milliseconds timeout) {
  const int socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = AddressOf(ip, port);
  const int begun = connect(socket, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address));
  int error = begun == 0 ? 0 : errno;
  if (error == EINPROGRESS &&
      WaitFor(socket, POLLOUT, Clock::now() + timeout)) {
    socklen_t size = sizeof(error);
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
  }
  if (error != 0) {
    close(socket);
    return std::nullopt;
  }
  const int one = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  return socket;
}

bool Connection::Write(const std::string& bytes) const {
  size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = send(this->socket, bytes.data() + written,
                               bytes.size() - written, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    written += static_cast<size_t>(count);
  }
  return true;
}

bool Connection::Fill(Clock::time_point until) {
  std::array<char, 4096> bytes{};
  if (!WaitFor(this->socket, POLLIN, until)) {
    return false;
  }
  const ssize_t count = recv(this->socket, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  this->unread.append(bytes.data(), static_cast<size_t>(count));
  return true;
}

std::optional<Message> Connection::Read(Clock::time_point until) {
  size_t end = std::string::npos;
  while ((end = this->unread.find("\r\n\r\n")) == std::string::npos) {
    if (!this->Fill(until)) {
      return std::nullopt;
    }
  }
  Message message = ParseHead(this->unread.substr(0, end + 2));
  this->unread.erase(0, end + 4);
  const size_t length =
      static_cast<size_t>(std::atoll(message.Header("content-length").c_str()));
  while (this->unread.size() < length) {
    if (!this->Fill(until)) {
      return std::nullopt;
    }
  }
  message.body = this->unread.substr(0, length);
  this->unread.erase(0, length);
  return message;
}

std::optional<Message> Ask(const std::string& ip,
                           uint16_t port,
                           const std::string& method,
                           const std::string& path,
                           const std::string& headers,
                           const std::string& body,
                           milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  const auto socket = Connection::Connect(ip, port, timeout);
  if (!socket) {
    return std::nullopt;
  }
  Connection connection(*socket);
  const bool has_body = !body.empty() || method == "POST" || method == "PUT";
  const std::string length =
      has_body ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "";
  std::string bytes = method;
  bytes += " " + path + " HTTP/1.1\r\n";
  bytes += headers + length + "\r\n" + body;
  return connection.Write(bytes) ? connection.Read(until) : std::nullopt;
}

int Listen(const std::string& ip, uint16_t port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in address = AddressOf(ip, port);
  constexpr int kBacklog = 256;
  if (bind(socket, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(socket, kBacklog) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

}  // namespace review
