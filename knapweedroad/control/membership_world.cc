#include "knapweedroad/control/membership_world.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/control/control_contacts.h"
#include "knapweedroad/control/control_value.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(10);
// As of ReplicaMembership.
constexpr Duration kLook = milliseconds(700);
constexpr Duration kUnsettledLook = milliseconds(200);
constexpr Duration kLookTimeout = milliseconds(350);
constexpr Duration kFirstLook = milliseconds(60);
constexpr Duration kFirstLookTimeout = milliseconds(120);
constexpr Duration kMoveTimeout = milliseconds(3000);
// When callers turn to another host.
constexpr Duration kCallerPatience = milliseconds(1000);
constexpr Duration kLeaveTimeout = milliseconds(1000);

}  // namespace

MembershipWorld::MembershipWorld(const FakeClusterOptions& options)
    : replicas(options), random(options.seed) {
  for (const std::string& host : options.hosts) {
    this->seeds[host] = options.hosts;
    this->Boot(host);
  }
}

void MembershipWorld::Boot(const std::string& host) {
  this->watchers[host] = {
      .controller =
          std::make_unique<MembershipController>(MembershipControllerOptions{
              .self = this->replicas.acceptor(host)->id()}),
      .next_look = this->replicas.now(),
      .heard = {this->seeds.at(host).begin(), this->seeds.at(host).end()}};
}

void MembershipWorld::AddHost(const std::string& host,
                              const std::vector<std::string>& seeds) {
  this->seeds[host] = seeds;
  if (seeds.empty()) {
    this->seeds[host] = this->Running();
    this->seeds[host].resize(std::min<size_t>(this->seeds[host].size(), 3));
  }
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

std::vector<HostId> MembershipWorld::Contacts(const std::string& host) const {
  const std::vector<std::string>& names = this->seeds.at(host);
  std::vector<HostId> own_seeds(names.begin(), names.end());
  return ControlContacts(own_seeds,
                         this->replicas.acceptor(host)->current().value,
                         this->replicas.known(host));
}

ReplicaSurvey MembershipWorld::Survey(const std::string& host) {
  std::set<std::string> asked = this->watchers.at(host).heard;
  asked.insert(host);
  for (const HostId& contact : this->Contacts(host)) {
    asked.insert(contact.str());
  }
  return this->replicas.Survey(host, asked);
}

void MembershipWorld::Exchange(const std::string& host,
                               const std::set<MemberId>& answering) {
  std::set<std::string>& heard = this->watchers.at(host).heard;
  for (const HostId& contact : this->Contacts(host)) {
    heard.insert(contact.str());
  }
  for (const MemberId& member : answering) {
    const std::string other = member.host.str();
    if (heard.contains(other)) {
      Watcher& followed = this->watchers.at(other);
      followed.heard.insert(host);
      heard.insert(followed.heard.begin(), followed.heard.end());
    }
  }
}

MemberView MembershipWorld::View(const std::string& host) {
  const ReplicaSurvey survey = this->Survey(host);
  this->Exchange(host, survey.Answering());
  MemberView view{.has_quorum = survey.HasQuorum(),
                  .is_formed = survey.is_formed(),
                  .answering = survey.Answering()};
  if (survey.IsChosen()) {
    view.members = survey.newest()->value.members;
    this->watchers.at(host).has_version = true;
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
  Duration pause = kFirstLook;
  if (watcher.has_version) {
    pause = watcher.controller->IsSettled(now) ? kLook : kUnsettledLook;
  }
  // A look lasts until all hosts that are known have answered or its time-out.
  const Duration timeout =
      watcher.has_version ? kLookTimeout : kFirstLookTimeout;
  const bool all_answer = view.answering.size() >= this->watchers.size();
  watcher.next_look = now + pause * part(this->random) / 100 +
                      (all_answer ? Duration::zero() : timeout);
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

void MembershipWorld::RestartAfter(const std::string& host, Duration down) {
  this->replicas.Crash(host);
  this->RunFor(down);
  this->Restart(host);
}

void MembershipWorld::LoseDiskOf(const std::string& host, Duration down) {
  this->replicas.Crash(host);
  this->replicas.LoseDisk(host);
  this->RunFor(down);
  this->Restart(host);
}

bool MembershipWorld::RunUntil(MembershipPhase phase, Duration within) {
  const auto has_accepted = [&](const std::string& host) {
    const auto& value = this->replicas.acceptor(host)->current().value;
    return value.has_value() && value->members.phase == phase;
  };
  const TimePoint end = this->replicas.now() + within;
  while (!std::ranges::any_of(this->Running(), has_accepted)) {
    if (this->replicas.now() >= end) {
      return false;
    }
    this->RunFor(std::chrono::milliseconds(1));
  }
  return true;
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

std::optional<uint64_t> MembershipWorld::ReadAt(const std::string& host) {
  const ReplicaSurvey survey = this->Survey(host);
  if (!survey.IsChosen()) {
    return std::nullopt;
  }
  return std::stoull("0" + survey.newest()->value.configuration);
}

std::optional<uint64_t> MembershipWorld::Read(Duration within) {
  const TimePoint end = this->replicas.now() + within;
  while (this->replicas.now() < end) {
    for (const std::string& host : this->Running()) {
      if (const auto number = this->ReadAt(host)) {
        return number;
      }
    }
    this->RunFor(kStep);
  }
  return std::nullopt;
}

bool MembershipWorld::AllRead(uint64_t number, Duration within) {
  const TimePoint end = this->replicas.now() + within;
  std::vector<std::string> left = this->Running();
  while (!left.empty() && this->replicas.now() < end) {
    std::erase_if(left, [&](const std::string& host) {
      return this->ReadAt(host) == number;
    });
    this->RunFor(kStep);
  }
  return left.empty();
}

}  // namespace knapweedroad
