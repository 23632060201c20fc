#include "knapweedroad/control/fake_cluster.h"

#include <deque>
#include <utility>

namespace knapweedroad {
namespace {

constexpr Duration kThawPoll = std::chrono::milliseconds(5);

}  // namespace

struct FakeCluster::Host {
  std::string name;
  bool up = false;
  bool is_frozen = false;
  // Counts restarts: what was scheduled for an earlier life is void.
  int life = 0;
  // Of this host's disk; absent: as of the options.
  std::optional<Duration> sync_time;
  std::vector<AcceptorRecord> disk;
  std::optional<AcceptorRecord> syncing;
  std::deque<Delivery> waiting;
  std::optional<Acceptor> acceptor;
  std::unique_ptr<Proposer> proposer;
};

struct FakeCluster::Task {
  std::string host;
  int life = 0;
  std::optional<ChangeRun> run;
  // A change of members, and its request: none where it only carries on.
  bool is_move = false;
  std::optional<MembershipRequest> membership;
  TimePoint start;
  TimePoint end;
  TimePoint deadline;
  std::optional<RunResult> result;
};

FakeCluster::FakeCluster(FakeClusterOptions options)
    : options(std::move(options)), random(this->options.seed) {
  for (const std::string& host : this->options.hosts) {
    this->AddHost(host);
  }
}

MemberId FakeCluster::AddHost(const std::string& name) {
  if (!this->hosts.contains(name)) {
    auto host = std::make_shared<Host>();
    host->name = name;
    this->hosts[name] = host;
    this->Boot(*host);
  }
  return this->hosts.at(name)->acceptor->id();
}

void FakeCluster::Boot(Host& host) {
  host.up = true;
  host.is_frozen = false;
  ++host.life;
  if (host.disk.empty()) {
    const MemberId self{HostId(host.name), this->random() + 1};
    host.disk.push_back({.self = self});
  }
  host.acceptor.emplace(host.disk.front().self);
  for (const AcceptorRecord& record : host.disk) {
    host.acceptor->Recover(record);
  }
  ProposerOptions proposer{.id = this->random()};
  for (const std::string& name : this->options.hosts) {
    proposer.first_hosts.emplace_back(name);
  }
  proposer.backoff = [this](int attempt) {
    return this->Delay(std::chrono::milliseconds(20) * std::min(attempt, 10));
  };
  proposer.attempt_timeout = this->options.attempt_timeout;
  host.proposer = std::make_unique<Proposer>(std::move(proposer));
}

FakeCluster::Task& FakeCluster::StartTask(const std::string& host,
                                          ChangeRun run) {
  auto task = std::make_shared<Task>();
  task->host = host;
  task->life = this->hosts.at(host)->life;
  task->run = std::move(run);
  task->start = this->time;
  task->deadline = this->time + this->options.deadline;
  this->tasks.push_back(task);
  return *task;
}

FakeCluster::TaskId FakeCluster::Change(const std::string& host,
                                        ChangeRequest request) {
  Proposer& proposer = *this->hosts.at(host)->proposer;
  const TimePoint deadline = this->time + this->options.deadline;
  Task& task =
      this->StartTask(host, proposer.MakeChange(std::move(request), deadline));
  const TaskId id = this->tasks.size() - 1;
  this->Take(id, task.run->Start(this->time));
  return id;
}

FakeCluster::TaskId FakeCluster::Read(const std::string& host) {
  Proposer& proposer = *this->hosts.at(host)->proposer;
  const TimePoint deadline = this->time + this->options.deadline;
  Task& task = this->StartTask(host, proposer.MakeRead(deadline));
  const TaskId id = this->tasks.size() - 1;
  this->Take(id, task.run->Start(this->time));
  return id;
}

FakeCluster::TaskId FakeCluster::ChangeMembers(const std::string& host,
                                               MembershipRequest request) {
  return this->StartMove(host, std::move(request));
}

FakeCluster::TaskId FakeCluster::CarryOn(const std::string& host) {
  return this->StartMove(host, std::nullopt);
}

FakeCluster::TaskId FakeCluster::StartMove(
    const std::string& host,
    std::optional<MembershipRequest> request) {
  Proposer& proposer = *this->hosts.at(host)->proposer;
  const TimePoint deadline = this->time + this->options.deadline;
  Task& task =
      this->StartTask(host, proposer.MakeMembershipStep(request, deadline));
  task.membership = std::move(request);
  task.is_move = true;
  const TaskId id = this->tasks.size() - 1;
  this->Take(id, task.run->Start(this->time));
  return id;
}

void FakeCluster::At(TimePoint when, std::function<void()> action) {
  this->events.emplace(when, std::move(action));
}

void FakeCluster::Take(TaskId id, RunActions actions) {
  const std::shared_ptr<Task> task = this->tasks[id];
  for (Envelope& envelope : actions.send) {
    this->Send({.from = task->host,
                .to = envelope.to.host.str(),
                .task = id,
                .message = std::move(envelope.message)});
  }
  if (task->run->result().has_value()) {
    this->hosts.at(task->host)->proposer->Learn(*task->run);
    const RunResult result = *task->run->result();
    const bool go_on =
        task->is_move && result.chosen.has_value() &&
        result.outcome.result == ChangeResult::kAccepted &&
        result.chosen->value.members.phase != MembershipPhase::kStable &&
        this->time < task->deadline;
    if (!go_on) {
      task->result = result;
      task->end = this->time;
      task->run.reset();
      return;
    }
    task->run =
        this->hosts.at(task->host)
            ->proposer->MakeMembershipStep(task->membership, task->deadline);
    this->Take(id, task->run->Start(this->time));
    return;
  }
  if (actions.wake_at.has_value()) {
    this->At(*actions.wake_at, [this, id, task] {
      this->WhenThawed(task->host, [this, id, task] {
        if (task->run.has_value() &&
            this->hosts.at(task->host)->life == task->life) {
          this->Take(id, task->run->OnWake(this->time));
        }
      });
    });
  }
}

void FakeCluster::Send(const Delivery& delivery) {
  if (this->Chance(this->options.loss)) {
    return;
  }
  const int copies = this->Chance(this->options.repeat) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    this->At(this->time + this->Delay(this->options.max_delay),
             [this, delivery] { this->Deliver(delivery); });
  }
}

bool FakeCluster::IsConnected(const std::string& from,
                              const std::string& to) const {
  return this->cut_off.contains(from) == this->cut_off.contains(to);
}

void FakeCluster::WhenThawed(const std::string& name,
                             std::function<void()> action) {
  if (!this->hosts.at(name)->is_frozen) {
    action();
    return;
  }
  this->At(this->time + kThawPoll, [this, name, action = std::move(action)] {
    this->WhenThawed(name, action);
  });
}

void FakeCluster::Deliver(const Delivery& delivery) {
  const auto entry = this->hosts.find(delivery.to);
  if (entry == this->hosts.end() || !entry->second->up ||
      !this->IsConnected(delivery.from, delivery.to)) {
    return;
  }
  Host& host = *entry->second;
  if (host.is_frozen) {
    this->WhenThawed(delivery.to,
                     [this, delivery] { this->Deliver(delivery); });
    return;
  }
  const auto* prepare_reply = std::get_if<PrepareReply>(&delivery.message);
  const auto* accept_reply = std::get_if<AcceptReply>(&delivery.message);
  if (prepare_reply == nullptr && accept_reply == nullptr) {
    host.waiting.push_back(delivery);
    this->ServeNext(host);
    return;
  }
  const std::shared_ptr<Task> task = this->tasks[*delivery.task];
  if (!task->run.has_value() || task->life != host.life) {
    return;
  }
  this->Take(*delivery.task,
             prepare_reply != nullptr
                 ? task->run->OnPrepareReply(*prepare_reply, this->time)
                 : task->run->OnAcceptReply(*accept_reply, this->time));
}

void FakeCluster::ServeNext(Host& host) {
  while (host.up && !host.syncing.has_value() && !host.waiting.empty()) {
    const Delivery request = std::move(host.waiting.front());
    host.waiting.pop_front();
    this->Serve(host, request);
  }
}

void FakeCluster::Serve(Host& host, const Delivery& request) {
  if (const auto* query = std::get_if<QueryRequest>(&request.message)) {
    this->AnswerAfterSync(host, request, host.acceptor->OnQuery(*query), {});
  } else if (const auto* prepare =
                 std::get_if<PrepareRequest>(&request.message)) {
    auto step = host.acceptor->OnPrepare(*prepare);
    this->AnswerAfterSync(host, request, step.reply, step.to_sync);
  } else if (const auto* accept =
                 std::get_if<AcceptRequest>(&request.message)) {
    auto step = host.acceptor->OnAccept(*accept);
    this->AnswerAfterSync(host, request, step.reply, step.to_sync);
  }
}

void FakeCluster::AnswerAfterSync(Host& host,
                                  const Delivery& request,
                                  ControlMessage reply,
                                  std::optional<AcceptorRecord> record) {
  Delivery answer{.from = request.to,
                  .to = request.from,
                  .task = request.task,
                  .message = std::move(reply)};
  if (!record.has_value() || this->options.answer_before_sync) {
    this->Send(answer);
  }
  if (!record.has_value()) {
    return;
  }
  host.syncing = std::move(record);
  const Duration sync_time = host.sync_time.value_or(this->options.sync_time);
  this->At(this->time + this->Delay(sync_time),
           [this, &host, life = host.life, answer] {
             this->WhenThawed(host.name, [this, &host, life, answer] {
               if (host.life != life || !host.up) {
                 return;
               }
               host.disk.push_back(*std::exchange(host.syncing, std::nullopt));
               if (!this->options.answer_before_sync) {
                 this->Send(answer);
               }
               this->ServeNext(host);
             });
           });
}

void FakeCluster::RunFor(Duration span) {
  const TimePoint end = this->time + span;
  while (!this->events.empty() && this->events.begin()->first <= end) {
    auto event = this->events.extract(this->events.begin());
    this->time = event.key();
    event.mapped()();
  }
  this->time = end;
}

bool FakeCluster::RunUntilDone(TaskId task) {
  while (!this->tasks[task]->result.has_value() && !this->events.empty()) {
    auto event = this->events.extract(this->events.begin());
    this->time = event.key();
    event.mapped()();
  }
  return this->tasks[task]->result.has_value();
}

void FakeCluster::Crash(const std::string& name) {
  Host& host = *this->hosts.at(name);
  if (host.syncing.has_value() && this->Chance(0.5)) {
    host.disk.push_back(*host.syncing);
  }
  host.syncing.reset();
  host.waiting.clear();
  host.up = false;
  ++host.life;
}

void FakeCluster::Restart(const std::string& name) {
  this->Boot(*this->hosts.at(name));
}

void FakeCluster::LoseDisk(const std::string& name) {
  this->hosts.at(name)->disk.clear();
}

void FakeCluster::Freeze(const std::string& name) {
  this->hosts.at(name)->is_frozen = true;
}

void FakeCluster::Thaw(const std::string& name) {
  this->hosts.at(name)->is_frozen = false;
}

bool FakeCluster::is_running(const std::string& name) const {
  const Host& host = *this->hosts.at(name);
  return host.up && !host.is_frozen;
}

ReplicaSurvey FakeCluster::Survey(const std::string& name,
                                  const std::set<std::string>& asked) {
  Proposer& proposer = *this->hosts.at(name)->proposer;
  proposer.AskAlso({asked.begin(), asked.end()});
  ReplicaSurvey survey(proposer.known());
  const Ballot held = proposer.known() ? proposer.known()->ballot : Ballot();
  for (const auto& [other, host] : this->hosts) {
    const bool is_asked = asked.empty() || asked.contains(other);
    if (is_asked && this->is_running(other) && this->IsConnected(name, other) &&
        !host->syncing.has_value()) {
      survey.OnReply(
          host->acceptor->OnQuery({.to = {HostId(other)}, .held = held}));
    }
  }
  if (survey.IsChosen()) {
    proposer.Learn(*survey.newest());
  }
  return survey;
}

void FakeCluster::SlowDisk(const std::string& name, Duration sync_time) {
  this->hosts.at(name)->sync_time = sync_time;
}

void FakeCluster::CutOff(std::set<std::string> hosts) {
  this->cut_off = std::move(hosts);
}

void FakeCluster::Heal() {
  this->cut_off.clear();
}

const std::optional<RunResult>& FakeCluster::result(TaskId task) const {
  return this->tasks[task]->result;
}

TimePoint FakeCluster::started(TaskId task) const {
  return this->tasks[task]->start;
}

TimePoint FakeCluster::ended(TaskId task) const {
  return this->tasks[task]->end;
}

const Acceptor* FakeCluster::acceptor(const std::string& host) const {
  return &*this->hosts.at(host)->acceptor;
}

const std::optional<BallotedValue>& FakeCluster::known(
    const std::string& host) const {
  return this->hosts.at(host)->proposer->known();
}

bool FakeCluster::Chance(double probability) {
  return std::bernoulli_distribution(probability)(this->random);
}

Duration FakeCluster::Delay(Duration longest) {
  std::uniform_int_distribution<int64_t> delay(0, longest.count());
  return Duration(delay(this->random));
}

}  // namespace knapweedroad
