#include "knapweedroad/edge/replica_membership.h"

#include <random>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/control/membership_controller.h"
#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/host/control_service.h"
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
constexpr Duration kMoveTimeout = milliseconds(3000);
constexpr Duration kFormTimeout = milliseconds(2000);

}  // namespace

ReplicaMembership::ReplicaMembership(ReplicaMembershipOptions options)
    : options(std::move(options)) {}

bool ReplicaMembership::LooksForFirstVersion() const {
  return !this->options.first_start && !this->options.has_version();
}

void ReplicaMembership::Act(const MemberAction& action) {
  const TimePoint now = Runtime::Now();
  ControlService& service = this->options.service;
  if (action.step == MemberStep::kNone) {
    return;
  }
  if (action.step == MemberStep::kForm) {
    const bool is_formed = service.Read(now + kFormTimeout).has_value();
    LogLine("membership_forming").Add("formed", is_formed).Info();
    return;
  }
  ChangeOutcome outcome;
  if (action.step == MemberStep::kCarryOn) {
    outcome = service.CarryOn(now + kMoveTimeout);
  } else {
    const OperatorId author("members-" + this->options.self.host.str());
    outcome = service.Move({.author = {author, RandomRequestId()},
                            .leaving = action.leaving,
                            .joining = action.joining,
                            .give_up = action.step == MemberStep::kGiveUp},
                           now + kMoveTimeout);
  }
  if (outcome.result == ChangeResult::kAccepted) {
    this->options.on_quorum(now);
  }
  LogLine("members_changed")
      .Add("step", static_cast<int>(action.step))
      .Add("leaving", action.leaving.value_or(HostId("none")))
      .Add("joining", action.joining.value_or(HostId("none")))
      .Add("accepted", outcome.result == ChangeResult::kAccepted)
      .Add("detail", outcome.detail)
      .Info();
}

void ReplicaMembership::Run() {
  MembershipController controller(
      {.self = this->options.self, .may_form = this->options.first_start});
  std::mt19937 random(std::random_device{}());
  ControlService& service = this->options.service;
  while (!this->is_stopped) {
    if (!this->options.first_start || this->options.has_version()) {
      service.AskHosts(this->options.hosts());
    }
    const Duration timeout =
        this->LooksForFirstVersion() ? kFirstPeekTimeout : kPeekTimeout;
    const TimePoint asked = Runtime::Now();
    const ControlPeek peek = service.Peek(asked + timeout);
    MemberView view{.is_formed = peek.is_formed, .reachable = peek.reachable};
    if (peek.chosen) {
      view.members = peek.chosen->value.members;
      service.Learn(*peek.chosen);
      this->options.on_quorum(asked);
      this->options.on_chosen(peek.chosen->value.version,
                              peek.chosen->value.configuration);
    }
    this->Act(controller.Decide(view, Runtime::Now()));
    // By lot, so that hosts which want the same don't want it together.
    std::uniform_int_distribution<int64_t> part(50, 100);
    const Duration interval =
        this->LooksForFirstVersion() ? kFirstPeekInterval : kPeekInterval;
    Runtime::SleepFor(interval * part(random) / 100);
  }
}

}  // namespace knapweedroad
