#include "knapweedroad/testing/stand_in_searcher.h"

#include <deque>
#include <unordered_set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/searcher_announcer.h"
#include "knapweedroad/testing/searcher_connection.h"
#include "knapweedroad/testing/searcher_control.h"
#include "knapweedroad/testing/searcher_protocol.h"
#include "knapweedroad/testing/stand_in_fault.h"

namespace knapweedroad {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Duration kQuietBeforeExit = std::chrono::seconds(1);
constexpr Duration kStopPoll = std::chrono::milliseconds(20);

}  // namespace

struct StandInSearcher::State : std::enable_shared_from_this<State> {
  State(Runtime& runtime, StandInOptions options)
      : runtime(runtime),
        options(std::move(options)),
        core(this->options.core, Runtime::Now()),
        acceptor(runtime.io()) {}

  tl::expected<uint16_t, NetError> Listen();
  void AcceptNext();
  void OnAccepted(tcp::socket socket);
  void OnRequest(const SearcherConnectionPtr& connection,
                 const HttpRequest& request);
  void OnWork(const SearcherConnectionPtr& connection, const WorkRequest& work);
  void OnCancel(const SearcherConnectionPtr& connection,
                const HttpRequest& request);
  void OnClosed(const SearcherConnectionPtr& connection);
  void Answer(const SearcherConnectionPtr& connection,
              HttpResponse response,
              bool truncated);
  void Apply(const StandInFault& fault);
  void AddSnapshot(SnapshotId snapshot, std::optional<uint32_t> units);
  void GoSilent();
  void Restart(Duration down);
  void CloseAll();

  Runtime& runtime;
  StandInOptions options;
  SearcherCore core;
  tcp::acceptor acceptor;
  std::unordered_set<SearcherConnectionPtr> open;
  // Held so that their sockets stay open. They don't count under the cap: the
  // path between the ends has lost them, and so has the real target.
  std::vector<SearcherConnectionPtr> silent;
  std::unique_ptr<SearcherAnnouncer> announcer;
  std::unique_ptr<SearcherControl> control;
  TimePoint last_work{};
  bool stopped = false;
};

tl::expected<uint16_t, NetError> StandInSearcher::State::Listen() {
  error_code error;
  const auto address = asio::ip::make_address(this->options.endpoint.ip, error);
  const tcp::endpoint endpoint(address, this->options.endpoint.port);
  if (!error) {
    this->acceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(endpoint, error);
  }
  if (!error) {
    this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::unexpected(
        NetError{.kind = NetErrorKind::kConnect,
                 .detail = "can't listen on " + this->options.endpoint.ip +
                           ":" + std::to_string(this->options.endpoint.port) +
                           ": " + error.message()});
  }
  this->AcceptNext();
  return this->acceptor.local_endpoint().port();
}

void StandInSearcher::State::AcceptNext() {
  this->acceptor.async_accept(
      [self = this->shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || self->stopped) {
          return;
        }
        if (!error) {
          self->OnAccepted(std::move(socket));
        }
        self->AcceptNext();
      });
}

void StandInSearcher::State::OnAccepted(tcp::socket socket) {
  const bool has_room = this->core.ConnectionOpened(Runtime::Now());
  if (!has_room) {
    this->core.ConnectionClosed();
    return;
  }
  const std::weak_ptr<State> weak = this->weak_from_this();
  SearcherConnectionHooks hooks;
  hooks.on_request = [weak](const SearcherConnectionPtr& connection,
                            const HttpRequest& request) {
    if (const auto self = weak.lock()) {
      self->OnRequest(connection, request);
    }
  };
  hooks.on_closed = [weak](const SearcherConnectionPtr& connection) {
    if (const auto self = weak.lock()) {
      self->OnClosed(connection);
    }
  };
  auto connection =
      std::make_shared<SearcherConnection>(std::move(socket), std::move(hooks));
  this->open.insert(connection);
  connection->Start(this->options.connect_cost);
}

void StandInSearcher::State::OnRequest(const SearcherConnectionPtr& connection,
                                       const HttpRequest& request) {
  if (request.path == kCancelPath) {
    this->OnCancel(connection, request);
    return;
  }
  auto work = ReadWork(request);
  if (!work) {
    this->Answer(connection, std::move(work.error()), false);
    return;
  }
  this->OnWork(connection, *work);
}

void StandInSearcher::State::OnWork(const SearcherConnectionPtr& connection,
                                    const WorkRequest& work) {
  this->last_work = Runtime::Now();
  const auto ticket = this->core.Begin(work, this->last_work);
  if (!ticket) {
    this->Answer(connection, WriteRefusal(ticket.error(), work.attempt_id),
                 false);
    return;
  }
  auto timer =
      std::make_shared<asio::steady_timer>(this->runtime.io(), ticket->run_for);
  timer->async_wait([self = this->shared_from_this(), timer, connection,
                     number = ticket->number,
                     attempt = work.attempt_id](error_code) {
    auto answer = self->core.Finish(number, Runtime::Now());
    if (answer) {
      self->Answer(connection, WriteAnswer(*answer), answer->truncated);
    } else {
      self->Answer(connection, WriteRefusal(answer.error(), attempt), false);
    }
  });
}

void StandInSearcher::State::OnCancel(const SearcherConnectionPtr& connection,
                                      const HttpRequest& request) {
  const bool cancelled = this->core.Cancel(ReadCancel(request)).has_value();
  this->Answer(connection,
               {.body = cancelled ? R"({"cancelled": true})"
                                  : R"({"cancelled": false})"},
               false);
}

void StandInSearcher::State::OnClosed(const SearcherConnectionPtr& connection) {
  if (this->open.erase(connection) > 0) {
    this->core.ConnectionClosed();
  }
}

void StandInSearcher::State::Answer(const SearcherConnectionPtr& connection,
                                    HttpResponse response,
                                    bool truncated) {
  if (!this->core.current_faults().answers_hide_state) {
    response.headers["Knapweed-Target-State"] =
        std::string(ToString(this->core.told_state()));
  }
  connection->Answer(response, truncated);
}

void StandInSearcher::State::Apply(const StandInFault& fault) {
  const TimePoint now = Runtime::Now();
  switch (fault.kind) {
    case StandInFaultKind::kMisbehave:
      this->core.SetFaults(fault.faults);
      return;
    case StandInFaultKind::kFallCold:
      this->core.FallCold();
      return;
    case StandInFaultKind::kWarmUp:
      this->core.EndColdStart();
      return;
    case StandInFaultKind::kGoSilent:
      this->GoSilent();
      return;
    case StandInFaultKind::kRestart:
      this->Restart(fault.down);
      return;
    case StandInFaultKind::kLeave:
      this->core.Leave(now);
      this->announcer->ReportNow();
      return;
    case StandInFaultKind::kChangeVersion:
      this->AddSnapshot({.generation = this->core.holds().back().generation,
                         .index_version = fault.snapshot.index_version},
                        std::nullopt);
      return;
    case StandInFaultKind::kRepartition:
      this->AddSnapshot(fault.snapshot, fault.units);
      return;
    case StandInFaultKind::kMarkZoneOut:
      this->core.MarkZone(true, now);
      return;
    case StandInFaultKind::kMarkZoneIn:
      this->core.MarkZone(false, now);
      return;
    case StandInFaultKind::kResetCounts:
      this->core.ResetCounts();
      return;
  }
}

void StandInSearcher::State::AddSnapshot(SnapshotId snapshot,
                                         std::optional<uint32_t> units) {
  if (snapshot.index_version == 0) {
    snapshot.index_version = this->core.holds().back().index_version + 1;
  }
  this->core.AddSnapshot(snapshot, units);
}

void StandInSearcher::State::GoSilent() {
  for (const SearcherConnectionPtr& connection : this->open) {
    connection->GoSilent();
    this->core.ConnectionClosed();
    this->silent.push_back(connection);
  }
  this->open.clear();
}

void StandInSearcher::State::Restart(Duration down) {
  this->core.Restart();
  this->CloseAll();
  if (down <= Duration::zero()) {
    return;
  }
  error_code ignored;
  this->options.endpoint.port = this->acceptor.local_endpoint(ignored).port();
  this->acceptor.close(ignored);
  this->announcer->Pause(down);
  auto timer = std::make_shared<asio::steady_timer>(this->runtime.io(), down);
  timer->async_wait([self = this->shared_from_this(), timer](error_code) {
    if (!self->stopped && !self->acceptor.is_open()) {
      static_cast<void>(self->Listen());
    }
  });
}

void StandInSearcher::State::CloseAll() {
  const auto closing = std::move(this->open);
  this->open.clear();
  for (const SearcherConnectionPtr& connection : closing) {
    connection->Close(true);
    this->core.ConnectionClosed();
  }
  for (const SearcherConnectionPtr& connection : this->silent) {
    connection->Close(true);
  }
  this->silent.clear();
}

StandInSearcher::StandInSearcher(Runtime& runtime, StandInOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

StandInSearcher::~StandInSearcher() {
  this->state->stopped = true;
  this->state->announcer.reset();
  this->state->control.reset();
  error_code ignored;
  this->state->acceptor.close(ignored);
  this->state->CloseAll();
}

tl::expected<StandInPorts, NetError> StandInSearcher::Start() {
  State& own = *this->state;
  const auto work = own.Listen();
  if (!work) {
    return tl::unexpected(work.error());
  }
  const std::string address =
      own.options.endpoint.ip + ":" + std::to_string(*work);
  const std::weak_ptr<State> weak = this->state;
  own.announcer = std::make_unique<SearcherAnnouncer>(
      own.runtime,
      SearcherAnnouncerOptions{.host_addresses = own.options.host_addresses,
                               .interval = own.options.report_interval,
                               .make_report =
                                   [weak, address] {
                                     TargetReport report;
                                     if (const auto self = weak.lock()) {
                                       report = self->core.MakeReport();
                                       report.address = address;
                                     }
                                     return report;
                                   },
                               .on_taken =
                                   [weak] {
                                     if (const auto self = weak.lock()) {
                                       self->core.ReportTaken(Runtime::Now());
                                     }
                                   }});
  own.control = std::make_unique<SearcherControl>(
      own.runtime,
      SearcherControlOptions{.endpoint = own.options.control_endpoint,
                             .core = &own.core,
                             .on_fault = [weak](const StandInFault& fault) {
                               if (const auto self = weak.lock()) {
                                 self->Apply(fault);
                               }
                             }});
  const auto control = own.control->Start();
  if (!control) {
    return tl::unexpected(control.error());
  }
  own.announcer->Start();
  return StandInPorts{.work = *work, .control = *control};
}

void StandInSearcher::Stop(TimePoint deadline) {
  State& own = *this->state;
  own.core.Leave(Runtime::Now());
  own.announcer->ReportNow();
  const TimePoint told = Runtime::Now();
  const auto quiet_since = [&own, told] {
    return std::max(own.last_work, told);
  };
  while (Runtime::Now() < deadline &&
         (own.core.in_flight() > 0 ||
          Runtime::Now() - quiet_since() < kQuietBeforeExit)) {
    Runtime::SleepFor(kStopPoll);
  }
}

void StandInSearcher::Apply(const StandInFault& fault) {
  this->state->Apply(fault);
}

const SearcherCore& StandInSearcher::core() const {
  return this->state->core;
}

}  // namespace knapweedroad
