#include "knapweedroad/edge/quorum_confirmer.h"

#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/control/control_value.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// On a host with a tenth of a core, a round of replies takes up to 200 ms.
constexpr Duration kPeekTimeout = milliseconds(400);
// A change is over within a few round trips and syncs.
constexpr Duration kRetryInterval = milliseconds(80);
// Also the longest time for which a vote delays a change of this host.
constexpr Duration kVoteTimeout = milliseconds(300);
// With the retry interval, a vote begins 0.4 to 0.7 s after the last success:
// rare enough not to disturb changes, and soon enough that followers, which
// accept confirmations of up to a second, don't go elsewhere.
constexpr int kLeastUndecided = 4;
constexpr int kMostUndecided = 7;
// A confirmation older than this is worth a log line.
constexpr Duration kLogAfter = milliseconds(2000);

}  // namespace

QuorumConfirmer::QuorumConfirmer(QuorumConfirmerOptions options)
    : options(std::move(options)),
      random(std::random_device{}()),
      undecided_before_vote(kLeastUndecided) {}

void QuorumConfirmer::Take(const ControlValue& value, BootTime began) {
  this->undecided = 0;
  if (this->options.on_chosen) {
    this->options.on_chosen(value.version, value.configuration);
  }
  this->newest_confirmation =
      QuorumConfirmation{.version = value.version, .began = began};
  if (this->options.on_confirmed) {
    this->options.on_confirmed(*this->newest_confirmation);
  }
}

QuorumConfirmer::Attempt QuorumConfirmer::Confirm() {
  ControlService& service = this->options.service;
  // Before the first message leaves: replicas answer what they hold later.
  const BootTime began = BootClock::now();
  const ControlPeek peek =
      service.Peek(Runtime::Now() + kPeekTimeout, /*soon=*/true);
  if (this->is_stopped) {
    return Attempt::kNoQuorum;
  }
  if (peek.chosen) {
    service.Learn(*peek.chosen);
    this->Take(peek.chosen->value, began);
    return Attempt::kConfirmed;
  }
  return peek.has_quorum ? Attempt::kUndecided : Attempt::kNoQuorum;
}

bool QuorumConfirmer::ConfirmByVote() {
  this->undecided = 0;
  // Not all control hosts at once: their votes would displace each other.
  this->undecided_before_vote = std::uniform_int_distribution<int>(
      kLeastUndecided, kMostUndecided)(this->random);
  const BootTime began = BootClock::now();
  const std::optional<ControlValue> value =
      this->options.service.Read(Runtime::Now() + kVoteTimeout);
  if (this->is_stopped || !value) {
    return false;
  }
  this->Take(*value, began);
  return true;
}

void QuorumConfirmer::Run() {
  bool is_logged = false;
  BootTime begun = BootClock::now();
  while (!this->is_stopped) {
    const TimePoint started = Runtime::Now();
    if (!this->options.is_wanted()) {
      begun = BootClock::now();
      Runtime::SleepUntil(started + this->options.interval);
      continue;
    }
    Attempt attempt = this->Confirm();
    if (attempt == Attempt::kUndecided &&
        ++this->undecided >= this->undecided_before_vote &&
        this->ConfirmByVote()) {
      attempt = Attempt::kConfirmed;
    }
    if (attempt == Attempt::kConfirmed) {
      begun = this->newest_confirmation->began;
    }
    const bool is_old = BootClock::now() - begun > kLogAfter;
    if (!this->is_stopped && std::exchange(is_logged, is_old) != is_old) {
      LogLine(is_old ? "confirmations_lost" : "confirmations_back").Warning();
    }
    Runtime::SleepUntil(started + (attempt == Attempt::kUndecided
                                       ? kRetryInterval
                                       : this->options.interval));
  }
}

}  // namespace knapweedroad
