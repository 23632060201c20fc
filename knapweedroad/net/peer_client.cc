#include "knapweedroad/net/peer_client.h"

#include <unordered_map>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "knapweedroad/net/fiber_event.h"
#include "knapweedroad/net/peer_connection.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/net/timed_event.h"

namespace knapweedroad {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using internal::PeerConnection;

// A call that waits for its reply.
struct Pending {
  explicit Pending(Runtime& runtime) : changed(runtime) {}
  TimedEvent changed;
  bool is_done = false;
  bool connection_lost = false;
  FrameKind kind = FrameKind::kReply;
  std::string body;
};

// A connection and the calls that wait on it.
struct Link {
  std::shared_ptr<PeerConnection> connection;
  std::unordered_map<uint64_t, std::shared_ptr<Pending>> pending;
  TimePoint heard;
  // Calls have timed out on it since anything came.
  bool has_timed_out = false;
  // A call has timed out on it after a silence.
  bool is_given_up = false;
};

}  // namespace

struct PeerClient::State : std::enable_shared_from_this<PeerClient::State> {
  State(Runtime& runtime, PeerClientOptions options)
      : runtime(runtime), options(std::move(options)) {}

  tl::expected<std::shared_ptr<Link>, NetError> UseLink(TimePoint deadline);
  bool IsSilent(const Link& link) const;
  tl::expected<std::shared_ptr<Link>, NetError> Open(TimePoint deadline);
  void Read(const std::shared_ptr<Link>& link);

  Runtime& runtime;
  PeerClientOptions options;
  std::shared_ptr<Link> current;
  uint64_t last_call = 0;
  size_t silent = 0;
};

// A connection that something between the hosts has forgotten shows only by
// silence. It is left to its calls, which end at their deadlines, and all
// others go over a new one. Calls that follow one another never wait beside a
// later one, so a call that times out gives the connection up for the next.
bool PeerClient::State::IsSilent(const Link& link) const {
  return link.is_given_up ||
         (!link.pending.empty() &&
          Runtime::Now() - link.heard > this->options.silence);
}

tl::expected<std::shared_ptr<Link>, NetError> PeerClient::State::UseLink(
    TimePoint deadline) {
  if (this->current != nullptr && !this->current->connection->closed()) {
    if (!this->IsSilent(*this->current)) {
      return this->current;
    }
    if (!this->current->is_given_up) {
      ++this->silent;
    }
  }
  const std::shared_ptr<Link> replaced = this->current;
  auto link = this->Open(deadline);
  if (!link) {
    return link;
  }
  // Another call has opened one meanwhile. Nothing would ever close the one
  // that isn't the current one.
  if (this->current != replaced && !this->current->connection->closed() &&
      !this->IsSilent(*this->current)) {
    (*link)->connection->Close();
    return this->current;
  }
  this->current = *link;
  return link;
}

tl::expected<std::shared_ptr<Link>, NetError> PeerClient::State::Open(
    TimePoint deadline) {
  error_code error;
  const auto address = asio::ip::make_address(this->options.endpoint.ip, error);
  auto socket = std::make_shared<tcp::socket>(this->runtime.io());
  asio::steady_timer timer(
      this->runtime.io(),
      std::min(deadline, Runtime::Now() + this->options.connect_timeout));
  timer.async_wait([socket](error_code expired) {
    if (!expired) {
      error_code ignored;
      socket->close(ignored);
    }
  });
  const TimePoint attempted = Runtime::Now();
  FiberEvent connected;
  socket->async_connect(tcp::endpoint(address, this->options.endpoint.port),
                        [&](error_code result) {
                          error = result;
                          connected.Set();
                        });
  connected.Wait();
  timer.cancel();
  if (error == asio::error::connection_refused && this->options.on_refused) {
    this->options.on_refused(attempted);
  }
  if (error) {
    return tl::unexpected(NetError{.kind = NetErrorKind::kConnect,
                                   .detail = "connect: " + error.message()});
  }
  auto link = std::make_shared<Link>();
  link->connection =
      std::make_shared<PeerConnection>(this->runtime, std::move(*socket));
  link->heard = Runtime::Now();
  this->runtime.Spawn(
      [self = this->shared_from_this(), link] { self->Read(link); });
  return link;
}

void PeerClient::State::Read(const std::shared_ptr<Link>& link) {
  link->connection->ReadAll([&](const FrameHeader& header, std::string body) {
    link->heard = Runtime::Now();
    link->has_timed_out = false;
    const auto found = link->pending.find(header.call);
    if (found == link->pending.end()) {
      return;
    }
    Pending& pending = *found->second;
    pending.is_done = true;
    pending.kind = header.kind;
    pending.body = std::move(body);
    pending.changed.Set();
  });
  for (const auto& [call, pending] : link->pending) {
    pending->connection_lost = true;
    pending->changed.Set();
  }
}

PeerClient::PeerClient(Runtime& runtime, PeerClientOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

PeerClient::~PeerClient() {
  if (this->state->current != nullptr) {
    this->state->current->connection->Close();
  }
}

tl::expected<std::string, NetError> PeerClient::Call(PeerMessageType type,
                                                     std::string_view body,
                                                     TimePoint deadline) {
  const std::shared_ptr<State> self = this->state;
  auto used = self->UseLink(deadline);
  if (!used) {
    return tl::unexpected(used.error());
  }
  const std::shared_ptr<Link> link = *used;
  const uint64_t call = ++self->last_call;
  auto pending = std::make_shared<Pending>(self->runtime);
  // The silence of calls that are shorter than it adds up.
  if (link->pending.empty() && !link->has_timed_out) {
    link->heard = Runtime::Now();
  }
  link->pending.emplace(call, pending);
  const bool sent = link->connection->Send({.type = type, .call = call}, body);
  while (sent && !pending->is_done && !pending->connection_lost &&
         Runtime::Now() < deadline) {
    pending->changed.WaitUntil(deadline);
  }
  link->pending.erase(call);
  link->has_timed_out = link->has_timed_out || !pending->is_done;
  if (!pending->is_done &&
      Runtime::Now() - link->heard >= self->options.silence) {
    link->is_given_up = true;
    ++self->silent;
    if (link->pending.empty()) {
      link->connection->Close();
    }
  }
  if (pending->is_done && pending->kind == FrameKind::kReply) {
    return std::move(pending->body);
  }
  if (pending->is_done) {
    return tl::unexpected(NetError{.kind = NetErrorKind::kMalformed,
                                   .written = true,
                                   .detail = "refused: " + pending->body});
  }
  const bool lost = !sent || pending->connection_lost;
  return tl::unexpected(NetError{
      .kind = lost ? NetErrorKind::kClosed : NetErrorKind::kTimeout,
      .written = sent,
      .reused_connection = true,
      .detail = lost ? "the connection was lost" : "no reply in time"});
}

Duration PeerClient::unanswered_for(TimePoint now) const {
  const std::shared_ptr<Link>& link = this->state->current;
  if (link == nullptr || link->pending.empty()) {
    return Duration::zero();
  }
  return now - link->heard;
}

size_t PeerClient::silent_connections() const {
  return this->state->silent;
}

}  // namespace knapweedroad
