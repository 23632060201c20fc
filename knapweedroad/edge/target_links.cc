#include "knapweedroad/edge/target_links.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/target_connection.h"
#include "knapweedroad/edge/target_reply.h"
#include "knapweedroad/net/receive_budget.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

// Fits the largest usual answer; larger ones take more reads.
// Of unfinished answers of all targets: an eighth of a host's memory.
constexpr size_t kMostUnfinishedBytes = 32 << 20;
constexpr size_t kReadBytes = 32 << 10;
// A target that is up answers a connection's first packet within a few
// milliseconds; this is soon enough to try another within the latency target.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
// An idle connection is dropped after this part of the time that the target
// lets it idle, so that no request is sent into its closing.
constexpr double kIdleShare = 0.7;
constexpr Duration kMostIdle = std::chrono::seconds(20);

// A target that has turned a connection away may do so again for this long.
constexpr Duration kRejectionMemory = std::chrono::seconds(10);

}  // namespace

struct TargetLinks::State : std::enable_shared_from_this<TargetLinks::State> {
  class Exchange;
  using Connection = std::shared_ptr<TargetConnection>;

  State(Runtime& runtime, TargetLinksOptions options)
      : runtime(runtime), options(std::move(options)) {}

  Connection TakeIdle(const TargetId& target, Duration max_idle);
  void Keep(const TargetId& target, Connection connection);
  void Watch(const TargetId& target, const Connection& connection);
  void WatchKept();
  void OnMalformedLoad(const TargetId& target);

  Runtime& runtime;
  TargetLinksOptions options;
  std::array<char, kReadBytes> scratch;
  ReceiveBudget budget{kMostUnfinishedBytes};
  std::unordered_map<TargetId, std::vector<Connection>> idle;
  // Kept since the last sweep, and perhaps in use again.
  std::vector<std::pair<TargetId, std::weak_ptr<TargetConnection>>> kept;
  std::unordered_set<std::shared_ptr<Exchange>> running;
  // Targets that have turned a new connection away, and until when it counts.
  std::unordered_map<TargetId, TimePoint> rejects_connections;
  // Targets whose malformed load report has been logged.
  std::unordered_set<TargetId> malformed_loads;
  size_t opened = 0;
};

class TargetLinks::State::Exchange
    : public TargetExchange,
      public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<State> links,
           TargetSend send,
           std::function<void(TargetReply)> done)
      : links(std::move(links)),
        send(std::move(send)),
        on_done(std::move(done)) {}

  void Start() {
    this->connection =
        this->links->TakeIdle(this->send.target, this->send.max_idle);
    if (this->connection != nullptr) {
      this->Write();
      return;
    }
    ++this->links->opened;
    this->connect_by = Runtime::Now() + kConnectTimeout;
    this->is_connecting = true;
    this->connection = TargetConnection::Make(
        this->links->runtime.io(), this->links->options.header_names,
        this->links->budget, this->links->scratch);
    this->connection->Connect(
        this->send.address, [self = this->shared_from_this()](ConnectEnd end) {
          self->is_connecting = false;
          if (end == ConnectEnd::kRejected) {
            self->ConnectionRejected();
          } else if (end == ConnectEnd::kFailed) {
            self->Done({.kind = ReplyKind::kUnreachable});
          } else if (self->is_abandoned) {
            self->links->Keep(self->send.target, self->connection);
            self->Done({});
          } else if (self->MustSettle()) {
            self->Settle();
          } else {
            self->Write();
          }
        });
  }

  void Abandon(Duration grace,
               std::function<void(const TargetReply&)> ended) override {
    this->is_abandoned = true;
    this->on_done = std::move(ended);
    this->send.deadline = std::min(this->send.deadline, Runtime::Now() + grace);
  }

  void Sweep(TimePoint now) {
    if (this->is_connecting && now >= this->connect_by) {
      this->connection->Close();
      this->Done({.kind = ReplyKind::kUnreachable});
    } else if (now >= this->send.deadline) {
      this->connection->Close();
      this->Done({.kind = ReplyKind::kBroken});
    }
  }

  void Cut() {
    this->on_done = nullptr;
    if (this->connection != nullptr) {
      this->connection->Close();
    }
  }

 private:
  bool MustSettle() const {
    const auto found = this->links->rejects_connections.find(this->send.target);
    return this->send.settles ||
           (found != this->links->rejects_connections.end() &&
            Runtime::Now() < found->second);
  }

  // A target at its cap resets a new connection, at times only after the
  // request was written. It may then have run, and costs a retry, or the whole
  // request where it must not run twice.
  void Settle() {
    this->connection->WatchIdle([self = this->shared_from_this()] {
      self->settle_timer.reset();
      self->ConnectionRejected();
    });
    this->settle_timer.emplace(this->links->runtime.io(),
                               this->links->options.settle);
    this->settle_timer->async_wait(
        [self = this->shared_from_this()](const auto& error) {
          if (error || !self->settle_timer || !self->connection->reusable()) {
            return;
          }
          if (self->is_abandoned) {
            self->links->Keep(self->send.target, self->connection);
            self->Done({});
            return;
          }
          self->Write();
        });
  }

  void RememberRejected() {
    this->links->rejects_connections[this->send.target] =
        Runtime::Now() + kRejectionMemory;
  }

  void ConnectionRejected() {
    this->RememberRejected();
    this->Done({.kind = ReplyKind::kRejected});
  }

  void Write() {
    this->is_fresh = this->connect_by != TimePoint();
    this->connection->Exchange(
        {.bytes = this->send.bytes(),
         .request_id = std::move(this->send.request_id),
         .wants_header = this->send.wants_header,
         .max_answer_bytes = this->send.max_answer_bytes},
        [self = this->shared_from_this()](TargetReply reply) {
          const bool is_cut = reply.kind == ReplyKind::kBroken ||
                              reply.kind == ReplyKind::kDisconnected;
          if (self->is_fresh && is_cut) {
            self->RememberRejected();
          }
          if (reply.has_malformed_load) {
            self->links->OnMalformedLoad(self->send.target);
          }
          if (self->connection->reusable()) {
            if (self->send.keep_connection) {
              self->links->Keep(self->send.target, self->connection);
            } else {
              self->connection->Close();
            }
          }
          self->Done(std::move(reply));
        });
  }

  void Done(TargetReply reply) {
    const auto done = std::exchange(this->on_done, nullptr);
    this->links->running.erase(this->shared_from_this());
    if (done) {
      done(std::move(reply));
    }
  }

  std::shared_ptr<State> links;
  TargetSend send;
  std::function<void(TargetReply)> on_done;
  Connection connection;
  TimePoint connect_by;
  std::optional<boost::asio::steady_timer> settle_timer;
  bool is_connecting = false;
  // Written to as the first exchange of its connection.
  bool is_fresh = false;
  bool is_abandoned = false;
};

TargetLinks::State::Connection TargetLinks::State::TakeIdle(
    const TargetId& target,
    Duration max_idle) {
  const auto found = this->idle.find(target);
  if (found == this->idle.end() || found->second.empty() ||
      Runtime::Now() - found->second.back()->idle_since() > max_idle) {
    return nullptr;
  }
  // The one used last: the others can then reach their idle limit and close.
  Connection connection = std::move(found->second.back());
  found->second.pop_back();
  if (!connection->is_watched() && !connection->IsQuiet()) {
    connection->Close();
    this->options.on_idle_closed(target);
    return nullptr;
  }
  return connection;
}

// Watching costs a call of the kernel, and a scatter's answers all come within
// milliseconds: the caller would wait for the watching of each connection.
void TargetLinks::State::Keep(const TargetId& target, Connection connection) {
  this->kept.emplace_back(target, connection);
  this->idle[target].push_back(std::move(connection));
}

void TargetLinks::State::WatchKept() {
  for (const auto& [target, held] : std::exchange(this->kept, {})) {
    const Connection connection = held.lock();
    if (connection != nullptr && connection->reusable()) {
      this->Watch(target, connection);
    }
  }
}

// Logged once for each target, as it comes with every answer.
void TargetLinks::State::OnMalformedLoad(const TargetId& target) {
  if (this->malformed_loads.insert(target).second) {
    LogLine("load_report_malformed").Add("target", target).Warning();
  }
}

void TargetLinks::State::Watch(const TargetId& target,
                               const Connection& connection) {
  connection->WatchIdle([links = this->weak_from_this(), target,
                         raw = connection.get()] {
    const auto self = links.lock();
    if (self == nullptr) {
      return;
    }
    std::erase_if(self->idle[target],
                  [raw](const Connection& held) { return held.get() == raw; });
    self->options.on_idle_closed(target);
  });
}

TargetLinks::TargetLinks(Runtime& runtime, TargetLinksOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

TargetLinks::~TargetLinks() {
  const auto running = std::exchange(this->state->running, {});
  for (const auto& exchange : running) {
    exchange->Cut();
  }
  for (auto& [target, connections] : this->state->idle) {
    for (const auto& connection : connections) {
      connection->Close();
    }
  }
  this->state->idle.clear();
}

std::shared_ptr<TargetExchange> TargetLinks::Send(
    TargetSend send,
    std::function<void(TargetReply)> done) {
  auto exchange = std::make_shared<State::Exchange>(
      this->state, std::move(send), std::move(done));
  this->state->running.insert(exchange);
  exchange->Start();
  return exchange;
}

void TargetLinks::Sweep(TimePoint now) {
  const std::vector<std::shared_ptr<State::Exchange>> running(
      this->state->running.begin(), this->state->running.end());
  for (const auto& exchange : running) {
    exchange->Sweep(now);
  }
  this->state->WatchKept();
  for (auto& [target, connections] : this->state->idle) {
    std::erase_if(connections, [now](const State::Connection& connection) {
      const Duration limit = connection->idle_limit() > Duration::zero()
                                 ? std::chrono::duration_cast<Duration>(
                                       connection->idle_limit() * kIdleShare)
                                 : kMostIdle;
      const bool is_old = now - connection->idle_since() > limit;
      if (is_old) {
        connection->Close();
      }
      return is_old;
    });
  }
  std::erase_if(this->state->idle,
                [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(this->state->rejects_connections,
                [now](const auto& entry) { return now >= entry.second; });
}

bool TargetLinks::has_idle(const TargetId& target) const {
  const auto found = this->state->idle.find(target);
  return found != this->state->idle.end() && !found->second.empty();
}

void TargetLinks::Prune(const std::function<bool(const TargetId&)>& keep) {
  std::erase_if(this->state->malformed_loads,
                [&](const TargetId& target) { return !keep(target); });
  std::erase_if(this->state->idle, [&](const auto& entry) {
    if (keep(entry.first)) {
      return false;
    }
    for (const auto& connection : entry.second) {
      connection->Close();
    }
    return true;
  });
}

size_t TargetLinks::connections() const {
  size_t count = this->state->running.size();
  for (const auto& [target, connections] : this->state->idle) {
    count += connections.size();
  }
  return count;
}

size_t TargetLinks::opened() const {
  return this->state->opened;
}

}  // namespace knapweedroad
