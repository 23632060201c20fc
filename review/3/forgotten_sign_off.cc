// A target signs off and is acknowledged; right after that all processes of the
// system are killed, and are back within a second. The target goes on serving
// for a while, as targets that leave do. It must get no requests once the time
// for draining it has passed.

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/configuration.h"
#include "review/stand_ins/connection.h"
#include "review/stand_ins/deployment.h"
#include "review/stand_ins/operator.h"
#include "review/stand_ins/record.h"
#include "review/stand_ins/searcher.h"

namespace review {
namespace {

// Bounds of the small deployments.
constexpr Milliseconds kDrain(3000);
// After a final fault that took most of the core, machines are in touch again
// twice `TouchMs` after they were started.
constexpr Milliseconds kInTouch(2 * 4000);

constexpr Milliseconds kReadyWithin(20'000);
constexpr Milliseconds kServedBefore(6000);
// The final faults of the small deployments keep the machines down for 0.76 s
// and more.
constexpr Milliseconds kDown(760);
// Targets that leave serve on for the time of draining, and at times for many
// seconds more.
constexpr Milliseconds kServesAfterDrain(12'000);
constexpr Milliseconds kWork(20);
constexpr Milliseconds kBetweenRequests(50);
constexpr int kDeadlineMs = 2500;
constexpr int kOk = 200;
constexpr const char* kZone = "zone-a";

enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

Milliseconds Work(const std::string&) {
  return kWork;
}

// When a target began to work on requests.
class Arrivals {
 public:
  void Add() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->times.push_back(Clock::now());
  }

  size_t CountBetween(TimePoint from, TimePoint until) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return static_cast<size_t>(std::ranges::count_if(
        this->times,
        [&](TimePoint time) { return time >= from && time < until; }));
  }

 private:
  std::mutex mutex;
  std::vector<TimePoint> times;
};

// Clients of the zone, each request over a new connection.
class Clients {
 public:
  Clients(const std::vector<Host>& entries, Record& record)
      : record(record), sender([this, &entries] { this->Send(entries); }) {}
  ~Clients() {
    this->is_stopped = true;
    this->sender.join();
  }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  size_t answered() const { return this->answered_well; }

 private:
  void Send(const std::vector<Host>& entries) {
    for (size_t i = 0; !this->is_stopped; ++i) {
      const Host& entry = entries[i % entries.size()];
      const std::string id = "request-" + std::to_string(i);
      HttpMessage request{.method = "GET", .path = kPathPrefix + id};
      request.headers["host"] = kCallerHost;
      request.headers["x-request-id"] = id;
      request.headers["x-request-deadline"] = std::to_string(kDeadlineMs);
      request.headers["connection"] = "close";
      const auto answer =
          Call(entry.served, request, Milliseconds(kDeadlineMs));
      this->answered_well += answer && answer->status == kOk ? 1 : 0;
      this->record.Add(
          "client gets " +
          (answer ? std::to_string(answer->status) : std::string("nothing")) +
          " to " + id + " from " + entry.name);
      std::this_thread::sleep_for(kBetweenRequests);
    }
  }

  Record& record;
  std::atomic<bool> is_stopped = false;
  std::atomic<size_t> answered_well = 0;
  std::thread sender;
};

void KillAll(Deployment& deployment, Record& record) {
  record.Add("kills all processes");
  for (auto* const hosts : {&deployment.controls(), &deployment.entries()}) {
    for (const Host& host : *hosts) {
      host.process->Signal(SIGKILL);
    }
  }
}

void StartAllAgain(Deployment& deployment) {
  for (auto* const hosts : {&deployment.controls(), &deployment.entries()}) {
    for (Host& host : *hosts) {
      while (host.process->IsRunning()) {
        std::this_thread::sleep_for(Milliseconds(1));
      }
      deployment.Restart(host);
    }
  }
}

int Run(const std::string& folder, const std::string& record_path) {
  const char* const trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(record_path);
  Deployment deployment({.binary = "target/bin/knapweedroad",
                         .folder = folder,
                         .control_zones = {kZone, "zone-b", "zone-c"},
                         .entry_zones = {kZone, "zone-b"}},
                        record);
  deployment.StartAll();
  Arrivals arrivals;
  std::vector<std::unique_ptr<Searcher>> searchers;
  for (const char* number : {"1", "2", "3"}) {
    SearcherOptions options{.id = std::string("searcher-") + number,
                            .service = kService,
                            .zone = kZone,
                            .ip = deployment.net() + "201",
                            .work = Work,
                            .control = deployment.ControlEndpoints()};
    if (searchers.empty()) {
      options.on_run = [&arrivals](const std::string&) { arrivals.Add(); };
    }
    searchers.push_back(std::make_unique<Searcher>(std::move(options), record));
  }
  Operator caller(deployment.ControlEndpoints(), record);
  const bool is_up =
      caller.Order(PutConfiguration("safe", kDeadlineMs), 0, kReadyWithin) &&
      deployment.AwaitReady(kReadyWithin);
  if (!is_up) {
    record.Add("result: the deployment didn't start");
    return kCouldNotRun;
  }
  const Clients clients(deployment.entries(), record);
  std::this_thread::sleep_for(kServedBefore);

  const auto left = searchers.front()->SignOff(deployment.controls()[0].served);
  if (has_trouble) {
    KillAll(deployment, record);
  }
  std::this_thread::sleep_for(kDown);
  if (has_trouble) {
    StartAllAgain(deployment);
  }
  const TimePoint started = Clock::now();
  if (!left) {
    record.Add("result: the DELETE wasn't acknowledged");
    return kCouldNotRun;
  }
  const TimePoint due = std::max(*left + kDrain, started + kInTouch);
  const TimePoint ends = *left + kDrain + kServesAfterDrain;
  std::this_thread::sleep_until(due);
  record.Add("counts from here");
  const size_t answered_before = clients.answered();
  std::this_thread::sleep_until(ends);
  const size_t answered = clients.answered() - answered_before;
  const size_t late = arrivals.CountBetween(due, ends);
  record.Add("later than " + std::to_string(kDrain.count()) +
             " ms after the acknowledgement, from hosts in touch: " +
             std::to_string(late) + " of " + std::to_string(answered) +
             " requests reached searcher-1");
  if (answered == 0) {
    record.Add("result: no request was served");
    return kCouldNotRun;
  }
  record.Add(late > 0 ? "result: DRAIN is broken" : "result: held");
  std::cout << (late > 0 ? "broken" : "held") << ": " << late << " of "
            << answered << " requests reached the target that has left\n";
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kArguments = 3;
  if (argc != kArguments) {
    std::cerr << "usage: forgotten_sign_off FOLDER RECORD\n";
    return review::kCouldNotRun;
  }
  return review::Run(argv[1], argv[2]);
}
