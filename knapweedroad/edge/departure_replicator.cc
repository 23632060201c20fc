#include "knapweedroad/edge/departure_replicator.h"

#include <set>
#include <utility>

#include "knapweedroad/edge/departure_messages.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/net/timed_event.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

// The targets of a service or zone leave within a few milliseconds of each
// other.
constexpr Duration kGather = std::chrono::milliseconds(5);
constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
// Bounds a message: of 10,000 records it has some 2 MB.
constexpr size_t kMostInRound = 2000;

// Departures that are stored together.
struct Round {
  std::vector<TargetRecord> departures;
  Membership members;
  std::set<MemberId> holders;
  bool is_held = false;
  std::vector<std::shared_ptr<TimedEvent>> waiting;

  void Wake() const {
    for (const std::shared_ptr<TimedEvent>& event : this->waiting) {
      event->Set();
    }
  }

  void OnHeld(const MemberId& holder) {
    this->holders.insert(holder);
    if (!this->is_held && this->members.IsQuorum(this->holders)) {
      this->is_held = true;
      this->Wake();
    }
  }
};

}  // namespace

struct DepartureReplicator::State
    : std::enable_shared_from_this<DepartureReplicator::State> {
  State(Runtime& runtime, DepartureReplicatorOptions options)
      : runtime(runtime), options(std::move(options)) {}

  std::shared_ptr<Round> OpenRound();
  void Send(const std::shared_ptr<Round>& round);
  void SaveHere(const std::shared_ptr<Round>& round);
  void SaveAt(const std::shared_ptr<Round>& round,
              const HostId& host,
              const std::string& call);

  Runtime& runtime;
  DepartureReplicatorOptions options;
  // Takes departures; null: none does.
  std::shared_ptr<Round> open;
  uint64_t rounds = 0;
  uint64_t departures = 0;
  bool is_stopped = false;
};

std::shared_ptr<Round> DepartureReplicator::State::OpenRound() {
  if (this->open != nullptr && this->open->departures.size() < kMostInRound) {
    return this->open;
  }
  this->open = std::make_shared<Round>();
  this->runtime.Spawn([self = this->shared_from_this(), round = this->open] {
    Runtime::SleepFor(kGather);
    if (self->open == round) {
      self->open.reset();
    }
    if (!self->is_stopped) {
      self->Send(round);
    }
  });
  return this->open;
}

void DepartureReplicator::State::Send(const std::shared_ptr<Round>& round) {
  ++this->rounds;
  this->departures += round->departures.size();
  round->members = this->options.members();
  const auto call = std::make_shared<std::string>(
      EncodePacked(DepartureCall{.departures = round->departures}));
  for (const MemberId& member : round->members.Everyone()) {
    if (member.host != this->options.self.host) {
      this->runtime.Spawn([self = this->shared_from_this(), round,
                           host = member.host,
                           call] { self->SaveAt(round, host, *call); });
    }
  }
  this->SaveHere(round);
}

void DepartureReplicator::State::SaveHere(const std::shared_ptr<Round>& round) {
  if (this->options.save(round->departures)) {
    round->OnHeld(this->options.self);
  }
}

void DepartureReplicator::State::SaveAt(const std::shared_ptr<Round>& round,
                                        const HostId& host,
                                        const std::string& call) {
  if (this->is_stopped) {
    return;
  }
  const auto bytes =
      this->options.call(host, call, Runtime::Now() + kCallTimeout);
  if (!bytes) {
    return;
  }
  if (const auto reply = DecodePacked<DepartureReply>(*bytes)) {
    round->OnHeld(reply->holder);
  }
}

DepartureReplicator::DepartureReplicator(Runtime& runtime,
                                         DepartureReplicatorOptions options)
    : state(std::make_shared<State>(runtime, std::move(options))) {}

DepartureReplicator::~DepartureReplicator() {
  this->Stop();
}

bool DepartureReplicator::Replicate(const TargetRecord& departure,
                                    TimePoint deadline) {
  const std::shared_ptr<State> self = this->state;
  const std::shared_ptr<Round> round = self->OpenRound();
  round->departures.push_back(departure);
  const auto event = std::make_shared<TimedEvent>(self->runtime);
  round->waiting.push_back(event);
  while (!round->is_held && !self->is_stopped && Runtime::Now() < deadline) {
    event->WaitUntil(deadline);
  }
  return round->is_held;
}

void DepartureReplicator::Stop() {
  this->state->is_stopped = true;
  if (this->state->open != nullptr) {
    this->state->open->Wake();
  }
}

uint64_t DepartureReplicator::rounds() const {
  return this->state->rounds;
}

uint64_t DepartureReplicator::departures() const {
  return this->state->departures;
}

}  // namespace knapweedroad
