#include "knapweedroad/host/control_service.h"

#include <algorithm>
#include <mutex>
#include <random>
#include <set>
#include <utility>
#include <variant>

#include <boost/fiber/timed_mutex.hpp>

#include "knapweedroad/control/proposer.h"
#include "knapweedroad/control/replica_survey.h"
#include "knapweedroad/host/control_replica.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/net/timed_event.h"

namespace knapweedroad {
namespace {

constexpr Duration kCallsPoll = std::chrono::milliseconds(1);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(10);
constexpr int kLongestBackoff = 20;  // times the first

uint64_t RandomNumber() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

ChangeOutcome NoQuorum(std::string detail) {
  return {.reason = ChangeReason::kNoQuorum, .detail = std::move(detail)};
}

// One run, shared by the fibers that wait for replies to it: late ones outlive
// the call that made it.
struct DrivenRun {
  DrivenRun(Runtime& runtime, ChangeRun run)
      : run(std::move(run)), changed(runtime) {}

  ChangeRun run;
  TimedEvent changed;
  TimePoint wake_at;
};

// What the fibers need.
struct Wiring {
  Runtime& runtime;
  HostId self;
  std::shared_ptr<ControlReplica> replica;
  ControlCall call;
  Duration attempt_timeout;
  // Calls that wait for a reply.
  size_t running = 0;

  tl::expected<std::string, std::string> Ask(const HostId& host,
                                             const std::string& bytes,
                                             TimePoint deadline) const {
    if (host != this->self) {
      return this->call(host, bytes, deadline);
    }
    if (this->replica == nullptr) {
      return tl::unexpected(std::string("this host has no replica"));
    }
    return this->replica->OnPeerMessage(bytes);
  }
};

void Take(const std::shared_ptr<Wiring>& wiring,
          const std::shared_ptr<DrivenRun>& driven,
          const RunActions& actions);

void OnReply(const std::shared_ptr<Wiring>& wiring,
             const std::shared_ptr<DrivenRun>& driven,
             const std::string& bytes) {
  const auto message = DecodeControlMessage(bytes);
  if (!message.has_value()) {
    return;
  }
  const TimePoint now = Runtime::Now();
  if (const auto* promise = std::get_if<PrepareReply>(&*message)) {
    Take(wiring, driven, driven->run.OnPrepareReply(*promise, now));
  } else if (const auto* accept = std::get_if<AcceptReply>(&*message)) {
    Take(wiring, driven, driven->run.OnAcceptReply(*accept, now));
  }
}

void Take(const std::shared_ptr<Wiring>& wiring,
          const std::shared_ptr<DrivenRun>& driven,
          const RunActions& actions) {
  const TimePoint deadline = Runtime::Now() + wiring->attempt_timeout;
  for (const Envelope& envelope : actions.send) {
    ++wiring->running;
    wiring->runtime.Spawn([wiring, driven, deadline, host = envelope.to.host,
                           bytes = EncodeControlMessage(envelope.message)] {
      const auto reply = wiring->Ask(host, bytes, deadline);
      if (reply.has_value()) {
        OnReply(wiring, driven, *reply);
      }
      --wiring->running;
    });
  }
  driven->wake_at = actions.wake_at.value_or(TimePoint());
  driven->changed.Set();
}

// One round of questions, shared by the fibers that wait for its replies.
struct PeekState {
  PeekState(Runtime& runtime, const std::optional<BallotedValue>& known)
      : changed(runtime),
        survey(known),
        held(known.has_value() ? known->ballot : Ballot()) {}

  TimedEvent changed;
  ReplicaSurvey survey;
  Ballot held;
  TimePoint deadline;
  std::set<HostId> asked;
  size_t out = 0;
};

void AskInPeek(const std::shared_ptr<Wiring>& wiring,
               const std::shared_ptr<PeekState>& peek,
               const HostId& host);

// Members may have been replaced since this host last heard of them.
void TakePeekReply(const std::shared_ptr<Wiring>& wiring,
                   const std::shared_ptr<PeekState>& peek,
                   const PrepareReply& reply) {
  peek->survey.OnReply(reply);
  std::vector<MemberId> members = reply.known_members;
  if (const auto& newest = peek->survey.newest()) {
    const std::vector<MemberId> everyone = newest->value.members.Everyone();
    members.insert(members.end(), everyone.begin(), everyone.end());
  }
  for (const MemberId& member : members) {
    AskInPeek(wiring, peek, member.host);
  }
}

void AskInPeek(const std::shared_ptr<Wiring>& wiring,
               const std::shared_ptr<PeekState>& peek,
               const HostId& host) {
  if (Runtime::Now() >= peek->deadline || !peek->asked.insert(host).second) {
    return;
  }
  ++wiring->running;
  ++peek->out;
  wiring->runtime.Spawn([wiring, peek, host] {
    const auto bytes = wiring->Ask(
        host,
        EncodeControlMessage(QueryRequest{.to = {host}, .held = peek->held}),
        peek->deadline);
    const auto message = bytes.has_value()
                             ? DecodeControlMessage(*bytes)
                             : tl::expected<ControlMessage, std::string>(
                                   tl::unexpected(std::string("no reply")));
    if (message.has_value()) {
      if (const auto* reply = std::get_if<PrepareReply>(&*message)) {
        TakePeekReply(wiring, peek, *reply);
      }
    }
    --peek->out;
    --wiring->running;
    peek->changed.Set();
  });
}

ControlPeek PeekRound(const std::shared_ptr<Wiring>& wiring,
                      const std::set<HostId>& hosts,
                      const std::optional<BallotedValue>& known,
                      TimePoint deadline,
                      bool soon) {
  const auto peek = std::make_shared<PeekState>(wiring->runtime, known);
  peek->deadline = deadline;
  for (const HostId& host : hosts) {
    AskInPeek(wiring, peek, host);
  }
  TimePoint end = deadline;
  while (peek->out > 0 && Runtime::Now() < end &&
         !(soon && peek->survey.IsChosen())) {
    peek->changed.WaitUntil(end);
    if (soon && peek->survey.HasQuorum()) {
      end = std::min(end, Runtime::Now() + kUndecidedWait);
    }
  }
  ControlPeek result{.has_quorum = peek->survey.HasQuorum(),
                     .answering = peek->survey.Answering(),
                     .is_formed = peek->survey.is_formed(),
                     .newest = peek->survey.newest(),
                     .holding = peek->survey.Holding()};
  if (peek->survey.IsChosen()) {
    result.chosen = peek->survey.newest();
  }
  return result;
}

}  // namespace

struct ControlService::State {
  State(Runtime& runtime, ControlServiceOptions given)
      : wiring(std::make_shared<Wiring>(
            Wiring{runtime, given.self, given.replica, std::move(given.call),
                   given.attempt_timeout})),
        on_chosen(std::move(given.on_chosen)),
        random(RandomNumber()),
        first_hosts(given.first_hosts),
        proposer(
            {.id = RandomNumber(),
             .first_hosts = std::move(given.first_hosts),
             .backoff = [this](int attempt) { return this->Backoff(attempt); },
             .attempt_timeout = given.attempt_timeout}) {
    if (given.replica != nullptr && given.replica->accepted().has_value()) {
      this->AskAlso(given.replica->accepted()->members);
    }
  }

  void AskAlso(const Membership& members) {
    std::vector<HostId> hosts;
    for (const MemberId& member : members.Everyone()) {
      hosts.push_back(member.host);
      this->also_ask.insert(member.host);
    }
    this->proposer.AskAlso(std::move(hosts));
  }

  Duration Backoff(int attempt) {
    const auto longest = kFirstBackoff * std::min(attempt, kLongestBackoff);
    std::uniform_int_distribution<int64_t> wait(0, longest.count());
    return Duration(wait(this->random));
  }

  RunResult Drive(ChangeRun run) {
    const auto driven =
        std::make_shared<DrivenRun>(this->wiring->runtime, std::move(run));
    Take(this->wiring, driven, driven->run.Start(Runtime::Now()));
    while (!driven->run.result().has_value()) {
      if (!driven->changed.WaitUntil(driven->wake_at)) {
        Take(this->wiring, driven, driven->run.OnWake(Runtime::Now()));
      }
    }
    this->proposer.Learn(driven->run);
    const RunResult& result = *driven->run.result();
    if (result.chosen.has_value() && this->on_chosen) {
      this->on_chosen(result.chosen->value);
    }
    return result;
  }

  // Who may hold the value, as far as known here.
  std::set<HostId> PeekHosts() const {
    std::set<HostId> hosts = this->also_ask;
    for (const HostId& host : this->first_hosts) {
      hosts.insert(host);
    }
    if (this->proposer.known()) {
      for (const MemberId& member :
           this->proposer.known()->value.members.Everyone()) {
        hosts.insert(member.host);
      }
    }
    return hosts;
  }

  // The identity of the replica that the host runs now.
  std::optional<MemberId> Identify(const HostId& host, TimePoint deadline) {
    const TimePoint give_up =
        std::min(deadline, Runtime::Now() + this->wiring->attempt_timeout);
    const auto bytes = this->wiring->Ask(
        host, EncodeControlMessage(QueryRequest{.to = {host}}), give_up);
    if (!bytes.has_value()) {
      return std::nullopt;
    }
    const auto message = DecodeControlMessage(*bytes);
    if (!message.has_value()) {
      return std::nullopt;
    }
    const auto* reply = std::get_if<PrepareReply>(&*message);
    return reply == nullptr ? std::nullopt : std::optional(reply->from);
  }

  ChangeOutcome Move(const std::optional<MembershipRequest>& request,
                     TimePoint deadline) {
    while (true) {
      const RunResult result =
          this->Drive(this->proposer.MakeMembershipStep(request, deadline));
      const bool over =
          result.outcome.result != ChangeResult::kAccepted ||
          result.chosen->value.members.phase == MembershipPhase::kStable;
      if (over) {
        return result.outcome;
      }
      if (Runtime::Now() >= deadline) {
        return NoQuorum("the move is running; send it again to carry it on");
      }
      Runtime::SleepFor(kFirstBackoff);
    }
  }

  std::shared_ptr<Wiring> wiring;
  std::function<void(const ControlValue&)> on_chosen;
  std::mt19937_64 random;
  std::vector<HostId> first_hosts;
  std::set<HostId> also_ask;
  Proposer proposer;
  boost::fibers::timed_mutex one_at_a_time;
};

ControlService::ControlService(Runtime& runtime, ControlServiceOptions options)
    : state(std::make_unique<State>(runtime, std::move(options))) {}

ControlService::~ControlService() {
  while (this->state->wiring->running > 0) {
    Runtime::SleepFor(kCallsPoll);
  }
}

ChangeOutcome ControlService::Change(ChangeRequest request,
                                     TimePoint deadline) {
  const std::unique_lock lock(this->state->one_at_a_time, deadline);
  if (!lock.owns_lock()) {
    return NoQuorum("other changes of this host are waiting for an answer");
  }
  return this->state
      ->Drive(this->state->proposer.MakeChange(std::move(request), deadline))
      .outcome;
}

std::optional<ControlValue> ControlService::Read(TimePoint deadline) {
  const std::unique_lock lock(this->state->one_at_a_time, deadline);
  if (!lock.owns_lock()) {
    return std::nullopt;
  }
  RunResult result =
      this->state->Drive(this->state->proposer.MakeRead(deadline));
  if (!result.chosen.has_value()) {
    return std::nullopt;
  }
  return std::move(result.chosen->value);
}

ControlPeek ControlService::Peek(TimePoint deadline, bool soon) {
  return PeekRound(this->state->wiring, this->state->PeekHosts(),
                   this->state->proposer.known(), deadline, soon);
}

void ControlService::Learn(const BallotedValue& chosen) {
  this->state->proposer.Learn(chosen);
}

void ControlService::AskHosts(const std::vector<HostId>& hosts) {
  this->state->also_ask.insert(hosts.begin(), hosts.end());
  this->state->proposer.AskAlso(hosts);
}

ChangeOutcome ControlService::Move(const MoveRequest& request,
                                   TimePoint deadline) {
  const std::unique_lock lock(this->state->one_at_a_time, deadline);
  if (!lock.owns_lock()) {
    return NoQuorum("other changes of this host are waiting for an answer");
  }
  MembershipRequest resolved{.author = request.author,
                             .leaving = request.leaving,
                             .give_up = request.give_up,
                             .epoch = request.epoch};
  if (request.joining.has_value()) {
    resolved.joining = this->state->Identify(*request.joining, deadline);
    if (!resolved.joining.has_value()) {
      return NoQuorum("no replica answers on the joining host " +
                      request.joining->str());
    }
  }
  return this->state->Move(resolved, deadline);
}

ChangeOutcome ControlService::CarryOn(TimePoint deadline) {
  const std::unique_lock lock(this->state->one_at_a_time, deadline);
  if (!lock.owns_lock()) {
    return NoQuorum("other changes of this host are waiting for an answer");
  }
  return this->state->Move(std::nullopt, deadline);
}

void ControlService::Learn(const Membership& members) {
  this->state->AskAlso(members);
  if (this->state->wiring->replica != nullptr) {
    this->state->wiring->replica->Learn(members);
  }
}

const std::optional<BallotedValue>& ControlService::known() const {
  return this->state->proposer.known();
}

}  // namespace knapweedroad
