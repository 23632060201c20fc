#include "knapweedroad/control/membership_world.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(10);
// As of ReplicaMembership.
constexpr Duration kLook = milliseconds(700);
constexpr Duration kUnsettledLook = milliseconds(200);
constexpr Duration kLookTimeout = milliseconds(350);
constexpr Duration kMoveTimeout = milliseconds(3000);
// When callers turn to another host.
constexpr Duration kCallerPatience = milliseconds(1000);
constexpr Duration kLeaveTimeout = milliseconds(1000);

}  // namespace

MembershipWorld::MembershipWorld(const FakeClusterOptions& options)
    : replicas(options), random(options.seed) {
  for (const std::string& host : options.hosts) {
    this->Boot(host);
  }
}

void MembershipWorld::Boot(const std::string& host) {
  this->watchers[host] = {.controller = std::make_unique<MembershipController>(
                              MembershipControllerOptions{
                                  .self = this->replicas.acceptor(host)->id()}),
                          .next_look = this->replicas.now()};
}

void MembershipWorld::AddHost(const std::string& host) {
  this->replicas.AddHost(host);
  this->Boot(host);
}

void MembershipWorld::Restart(const std::string& host) {
  this->replicas.Restart(host);
  this->Boot(host);
}

void MembershipWorld::Stop(const std::string& host) {
  Watcher& watcher = this->watchers.at(host);
  this->Act(host, watcher, watcher.controller->Leave(this->View(host)));
  watcher.next_look = TimePoint::max();
  this->RunFor(kLeaveTimeout);
  this->replicas.Crash(host);
}

std::vector<std::string> MembershipWorld::Running() const {
  std::vector<std::string> running;
  for (const auto& [host, watcher] : this->watchers) {
    if (this->replicas.is_running(host)) {
      running.push_back(host);
    }
  }
  return running;
}

MemberView MembershipWorld::View(const std::string& host) {
  const ReplicaSurvey survey = this->replicas.Survey(host);
  MemberView view{.has_quorum = survey.HasQuorum(),
                  .is_formed = survey.is_formed(),
                  .answering = survey.Answering()};
  if (survey.IsChosen()) {
    view.members = survey.newest()->value.members;
  }
  return view;
}

MembershipRequest MembershipWorld::Resolve(const MemberAction& action) {
  MembershipRequest request{
      .author = {OperatorId("members"),
                 RequestId(std::to_string(++this->requests))},
      .leaving = action.leaving,
      .give_up = action.step == MemberStep::kGiveUp,
      .epoch = action.epoch};
  if (action.joining) {
    request.joining = this->replicas.acceptor(action.joining->str())->id();
  }
  return request;
}

void MembershipWorld::Act(const std::string& host,
                          Watcher& watcher,
                          const MemberAction& action) {
  switch (action.step) {
    case MemberStep::kNone:
    case MemberStep::kForm:
      return;
    case MemberStep::kSettle:
      watcher.task = this->replicas.Read(host);
      break;
    case MemberStep::kCarryOn:
      watcher.task = this->replicas.CarryOn(host);
      break;
    case MemberStep::kMove:
    case MemberStep::kGiveUp:
      watcher.task = this->replicas.ChangeMembers(host, this->Resolve(action));
      break;
  }
  watcher.task_end = this->replicas.now() + kMoveTimeout;
}

void MembershipWorld::Look(const std::string& host, Watcher& watcher) {
  const TimePoint now = this->replicas.now();
  const bool is_acting = watcher.task &&
                         !this->replicas.result(*watcher.task) &&
                         now < watcher.task_end;
  if (is_acting || now < watcher.next_look) {
    return;
  }
  watcher.task.reset();
  const MemberView view = this->View(host);
  this->Act(host, watcher, watcher.controller->Decide(view, now));
  std::uniform_int_distribution<int> part(50, 100);
  const Duration pause =
      watcher.controller->IsSettled(now) ? kLook : kUnsettledLook;
  // A look lasts until all hosts that are known have answered or its time-out.
  const bool all_answer = view.answering.size() >= this->watchers.size();
  watcher.next_look = now + pause * part(this->random) / 100 +
                      (all_answer ? Duration::zero() : kLookTimeout);
}

void MembershipWorld::RunFor(Duration span) {
  const TimePoint end = this->replicas.now() + span;
  while (this->replicas.now() < end) {
    for (auto& [host, watcher] : this->watchers) {
      if (this->replicas.is_running(host)) {
        this->Look(host, watcher);
      }
    }
    this->replicas.RunFor(std::min(kStep, end - this->replicas.now()));
  }
}

bool MembershipWorld::Change(uint64_t number, Duration within) {
  const TimePoint end = this->replicas.now() + within;
  const ChangeRequest request{
      .author = {OperatorId("anna"), RequestId(std::to_string(number))},
      .configuration = std::to_string(number)};
  while (this->replicas.now() < end) {
    for (const std::string& host : this->Running()) {
      const auto task = this->replicas.Change(host, request);
      const TimePoint give_up =
          std::min(end, this->replicas.now() + kCallerPatience);
      while (this->replicas.now() < give_up && !this->replicas.result(task)) {
        this->RunFor(kStep);
      }
      const auto& result = this->replicas.result(task);
      if (result && result->outcome.result == ChangeResult::kAccepted) {
        return true;
      }
    }
    this->RunFor(kStep);
  }
  return false;
}

std::optional<uint64_t> MembershipWorld::Read(Duration within) {
  const TimePoint end = this->replicas.now() + within;
  while (this->replicas.now() < end) {
    for (const std::string& host : this->Running()) {
      const ReplicaSurvey survey = this->replicas.Survey(host);
      if (survey.IsChosen()) {
        return std::stoull("0" + survey.newest()->value.configuration);
      }
    }
    this->RunFor(kStep);
  }
  return std::nullopt;
}

}  // namespace knapweedroad
