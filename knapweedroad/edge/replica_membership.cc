#include "knapweedroad/edge/replica_membership.h"

#include <algorithm>
#include <random>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/host/quorum_report.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// How often all replicas are asked what they hold. A version whose announcer
// died right after its acknowledgement is in force after this at the latest.
constexpr Duration kPeekInterval = milliseconds(700);
constexpr Duration kPeekTimeout = milliseconds(350);
// The same until a first version is known: after a loss of power no host serves
// before that, and a quorum is there within a few hundred milliseconds.
constexpr Duration kFirstPeekInterval = milliseconds(60);
constexpr Duration kFirstPeekTimeout = milliseconds(120);
// The same while a look may soon call for a step: a replaced host has to be out
// of the members before one more loss has to be borne.
constexpr Duration kUnsettledPeekInterval = milliseconds(200);
constexpr Duration kMoveTimeout = milliseconds(3000);

}  // namespace

ReplicaMembership::ReplicaMembership(ReplicaMembershipOptions given)
    : options(std::move(given)),
      controller({.self = this->options.self,
                  .may_form = this->options.first_start,
                  .catch_up = this->options.catch_up}) {}

bool ReplicaMembership::LooksForFirstVersion() const {
  return !this->options.first_start && !this->options.has_version();
}

void ReplicaMembership::Act(const MemberAction& action, TimePoint deadline) {
  const TimePoint now = Runtime::Now();
  ControlService& service = this->options.service;
  if (action.step == MemberStep::kNone) {
    return;
  }
  if (action.step == MemberStep::kForm) {
    const bool is_formed = service.Read(deadline).has_value();
    LogLine("membership_forming").Add("formed", is_formed).Info();
    return;
  }
  if (action.step == MemberStep::kSettle) {
    const bool is_settled = service.Read(deadline).has_value();
    LogLine("agreement_settled").Add("settled", is_settled).Info();
    return;
  }
  ChangeOutcome outcome;
  if (action.step == MemberStep::kCarryOn) {
    outcome = service.CarryOn(deadline);
  } else {
    const OperatorId author("members-" + this->options.self.host.str());
    outcome = service.Move({.author = {author, RandomRequestId()},
                            .leaving = action.leaving,
                            .joining = action.joining,
                            .give_up = action.step == MemberStep::kGiveUp,
                            .epoch = action.epoch},
                           deadline);
  }
  if (outcome.result == ChangeResult::kAccepted) {
    this->options.on_quorum(now);
  }
  LogLine("members_changed")
      .Add("step", static_cast<int>(action.step))
      .Add("leaving", action.leaving.value_or(HostId("none")))
      .Add("joining", action.joining.value_or(HostId("none")))
      .Add("epoch", action.epoch.value_or(0))
      .Add("accepted", outcome.result == ChangeResult::kAccepted)
      .Add("detail", outcome.detail)
      .Info();
}

MemberView ReplicaMembership::Look(TimePoint deadline) {
  const TimePoint asked = Runtime::Now();
  ControlPeek peek = this->options.service.Peek(deadline);
  MemberView view{.has_quorum = peek.has_quorum,
                  .is_formed = peek.is_formed,
                  .answering = peek.answering};
  this->ReportQuorum(peek);
  if (peek.chosen) {
    view.members = peek.chosen->value.members;
    this->options.service.Learn(*peek.chosen);
    this->options.on_quorum(asked);
    this->options.on_chosen(peek.chosen->value.version,
                            peek.chosen->value.configuration);
  }
  this->newest_look = KeepForReport(std::move(peek));
  return view;
}

void ReplicaMembership::ReportQuorum(const ControlPeek& peek) {
  if (std::exchange(this->had_quorum, peek.has_quorum) == peek.has_quorum) {
    return;
  }
  LogLine line(peek.has_quorum ? "quorum_found" : "quorum_lost");
  AddQuorumReport(line, peek);
  line.Warning();
}

void ReplicaMembership::Run() {
  std::mt19937 random(std::random_device{}());
  while (!this->is_stopped) {
    if (!this->options.first_start || this->options.has_version()) {
      this->options.service.AskHosts(this->options.hosts());
    }
    const Duration timeout =
        this->LooksForFirstVersion() ? kFirstPeekTimeout : kPeekTimeout;
    const MemberView view = this->Look(Runtime::Now() + timeout);
    if (this->is_stopped) {
      return;
    }
    const TimePoint now = Runtime::Now();
    this->Act(this->controller.Decide(view, now), now + kMoveTimeout);
    // By lot, so that hosts which want the same don't want it together.
    std::uniform_int_distribution<int64_t> part(50, 100);
    Duration interval = kPeekInterval;
    if (this->LooksForFirstVersion()) {
      interval = kFirstPeekInterval;
    } else if (!this->controller.IsSettled(Runtime::Now())) {
      interval = kUnsettledPeekInterval;
    }
    Runtime::SleepFor(interval * part(random) / 100);
  }
}

void ReplicaMembership::Leave(TimePoint deadline) {
  this->Stop();
  const MemberView view =
      this->Look(std::min(deadline, Runtime::Now() + kPeekTimeout));
  this->Act(this->controller.Leave(view), deadline);
}

}  // namespace knapweedroad
