#include "knapweedroad/net/peer_server.h"

#include <unordered_set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/listen.h"
#include "knapweedroad/net/peer_connection.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using internal::PeerConnection;

// Of one connection. A host that calls without end waits, and its calls with
// it.
constexpr size_t kMostRunning = 1024;
constexpr Duration kRunningPoll = std::chrono::milliseconds(2);

}  // namespace

struct PeerServer::State : std::enable_shared_from_this<PeerServer::State> {
  State(Runtime& runtime, PeerServerOptions options)
      : runtime(runtime), options(std::move(options)), acceptor(runtime.io()) {}

  void Accept(tcp::socket socket);
  void Answer(const std::shared_ptr<PeerConnection>& connection,
              const std::shared_ptr<size_t>& running_here,
              const FrameHeader& call,
              std::string body);

  Runtime& runtime;
  PeerServerOptions options;
  tcp::acceptor acceptor;
  std::unordered_set<std::shared_ptr<PeerConnection>> open;
  size_t running = 0;
  bool is_stopped = false;
};

void PeerServer::State::Accept(tcp::socket socket) {
  auto connection =
      std::make_shared<PeerConnection>(this->runtime, std::move(socket));
  this->open.insert(connection);
  this->runtime.Spawn([self = this->shared_from_this(), connection] {
    const auto running = std::make_shared<size_t>(0);
    connection->ReadAll([&](const FrameHeader& call, std::string body) {
      while (*running >= kMostRunning && !connection->closed()) {
        Runtime::SleepFor(kRunningPoll);
      }
      self->Answer(connection, running, call, std::move(body));
    });
    self->open.erase(connection);
  });
}

void PeerServer::State::Answer(
    const std::shared_ptr<PeerConnection>& connection,
    const std::shared_ptr<size_t>& running_here,
    const FrameHeader& call,
    std::string body) {
  ++this->running;
  ++*running_here;
  this->runtime.Spawn([self = this->shared_from_this(), connection,
                       running_here, call, body = std::move(body)]() mutable {
    const auto reply = self->options.handler(call.type, std::move(body));
    FrameHeader header = call;
    header.kind = reply ? FrameKind::kReply : FrameKind::kFailure;
    connection->Send(header, reply ? *reply : reply.error());
    --self->running;
    --*running_here;
  });
}

PeerServer::PeerServer(Runtime& runtime, PeerServerOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

PeerServer::~PeerServer() {
  this->state->is_stopped = true;
  error_code ignored;
  this->state->acceptor.close(ignored);
  for (const auto& connection : this->state->open) {
    connection->Close();
  }
}

tl::expected<uint16_t, NetError> PeerServer::Start() {
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

size_t PeerServer::running() const {
  return this->state->running;
}

}  // namespace knapweedroad
