#include "review/stand_ins/http_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "review/stand_ins/connection.h"

namespace review {
namespace {

constexpr int kBacklog = 64;
constexpr int kPollMs = 50;
constexpr Milliseconds kPoll(kPollMs);
// A connection that is idle for longer is closed.
constexpr Milliseconds kIdleTimeout(30'000);

}  // namespace

HttpServer::HttpServer(const std::string& ip, Handler handler)
    : handler(std::move(handler)), bound{.ip = ip} {
  this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  if (bind(this->listener, generic, size) != 0 ||
      listen(this->listener, kBacklog) != 0) {
    return;
  }
  getsockname(this->listener, generic, &size);
  this->bound.port = ntohs(address.sin_port);
  this->acceptor = std::thread([this] { this->AcceptAll(); });
}

HttpServer::~HttpServer() {
  this->is_stopped = true;
  if (this->acceptor.joinable()) {
    this->acceptor.join();
  }
  while (this->serving > 0) {
    std::this_thread::sleep_for(kPoll);
  }
  close(this->listener);
}

void HttpServer::AcceptAll() {
  while (!this->is_stopped) {
    pollfd waited{.fd = this->listener, .events = POLLIN, .revents = 0};
    if (poll(&waited, 1, kPollMs) <= 0) {
      continue;
    }
    const int socket =
        accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (socket >= 0) {
      ++this->serving;
      std::thread([this, socket] {
        this->Serve(socket);
        --this->serving;
      }).detach();
    }
  }
}

void HttpServer::Serve(int socket) {
  Connection connection(socket);
  TimePoint idle_since = Clock::now();
  while (!this->is_stopped && !connection.was_closed() &&
         Clock::now() - idle_since < kIdleTimeout) {
    const auto request = connection.Receive(Clock::now() + kPoll);
    if (!request) {
      continue;
    }
    if (!connection.Send(EncodeResponse(this->handler(*request)))) {
      return;
    }
    idle_since = Clock::now();
  }
}

}  // namespace review
