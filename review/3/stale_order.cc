// A control host stands still with an operator's order in its socket. The
// operator sends the order again to another host, and a later one that takes it
// back. Awake again, the first host must not carry out the order of before.

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
#include "review/stand_ins/wire.h"

namespace review {
namespace {

// Bounds of the small deployments.
constexpr Milliseconds kEvacuation(5000);
constexpr Milliseconds kMaxStretch(12'000);
constexpr Milliseconds kTouch(4000);
constexpr Milliseconds kAckTimeout(5000);
// A freeze of the small deployments lasts 4 s, and 7.1 s at most.
constexpr Milliseconds kFreeze(3900);

constexpr Milliseconds kReadyWithin(20'000);
constexpr Milliseconds kWork(20);
constexpr Milliseconds kBetweenRequests(100);
constexpr int kDeadlineMs = 2500;
// How long the zone stays evacuated before the fault.
constexpr Milliseconds kFirstEvacuation(7000);
constexpr Milliseconds kAfterFreeze(200);
constexpr Milliseconds kBetweenOrders(700);
// How long arrivals are counted once all bounds have passed.
constexpr Milliseconds kCounted(6000);
// In the evacuated zone, so that no second zone is disturbed.
constexpr size_t kFrozen = 1;
constexpr int kOk = 200;
constexpr const char* kZone = "zone-b";

enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

Milliseconds Work(const std::string&) {
  return kWork;
}

// When searchers of the evacuated zone began to work on requests.
class Arrivals {
 public:
  void Add() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->times.push_back(Clock::now());
  }

  size_t CountBetween(TimePoint from, TimePoint until) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    size_t count = 0;
    for (const TimePoint time : this->times) {
      count += time >= from && time < until ? 1 : 0;
    }
    return count;
  }

 private:
  std::mutex mutex;
  std::vector<TimePoint> times;
};

// Clients of all zones, each request over a new connection.
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
      request.headers[WireText("request_id_header")] = id;
      request.headers[WireText("deadline_header")] =
          std::to_string(kDeadlineMs);
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

HttpMessage EvacuationOrder(const std::string& method) {
  return {.method = method,
          .path = WireText("evacuation_path", {{"zone", kZone}})};
}

int Run(const std::string& folder, const std::string& record_path) {
  const char* const trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(record_path);
  const std::vector<std::string> zones = {"zone-a", kZone, "zone-c"};
  Deployment deployment({.binary = "target/bin/knapweedroad",
                         .folder = folder,
                         .control_zones = zones,
                         .entry_zones = zones},
                        record);
  deployment.StartAll();
  Arrivals arrivals;
  std::vector<std::unique_ptr<Searcher>> searchers;
  for (const std::string& zone : zones) {
    for (const char* number : {"-1", "-2"}) {
      SearcherOptions options{.id = "searcher-" + zone + number,
                              .service = kService,
                              .zone = zone,
                              .ip = deployment.net() + "201",
                              .work = Work,
                              .control = deployment.ControlEndpoints()};
      if (zone == kZone) {
        options.on_run = [&arrivals](const std::string&) { arrivals.Add(); };
      }
      searchers.push_back(
          std::make_unique<Searcher>(std::move(options), record));
    }
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

  const auto first = caller.Order(EvacuationOrder("POST"), 0, kAckTimeout);
  std::this_thread::sleep_for(kFirstEvacuation);
  const Process& frozen = *deployment.controls()[kFrozen].process;
  const TimePoint frozen_at = Clock::now();
  if (has_trouble) {
    frozen.Signal(SIGSTOP);
    record.Add("freezes " + deployment.controls()[kFrozen].name);
  }
  std::this_thread::sleep_for(kAfterFreeze);
  const auto taken_back =
      caller.Order(EvacuationOrder("DELETE"), kFrozen, kAckTimeout);
  std::this_thread::sleep_for(kBetweenOrders);
  const auto second = caller.Order(EvacuationOrder("POST"), 0, kAckTimeout);
  std::this_thread::sleep_until(frozen_at + kFreeze);
  const TimePoint thawed_at = Clock::now();
  if (has_trouble) {
    frozen.Signal(SIGCONT);
    record.Add("thaws " + deployment.controls()[kFrozen].name);
  }
  if (!first || !taken_back || !second) {
    record.Add("result: an order wasn't acknowledged");
    return kCouldNotRun;
  }
  const TimePoint due =
      std::max(*second + kEvacuation + kMaxStretch, thawed_at + kTouch);
  std::this_thread::sleep_until(due);
  record.Add("all bounds have passed; counts from here");
  const size_t answered_before = clients.answered();
  std::this_thread::sleep_until(due + kCounted);
  const size_t answered = clients.answered() - answered_before;
  const size_t late = arrivals.CountBetween(due, due + kCounted);
  const size_t in_first =
      arrivals.CountBetween(*first + kEvacuation, frozen_at);
  record.Add("in the first evacuation, after its bound: " +
             std::to_string(in_first) + " requests reached " + kZone);
  record.Add("in the second, acknowledged at " +
             std::to_string(record.At(*second)) +
             " and not taken back, after all bounds: " + std::to_string(late) +
             " of " + std::to_string(answered) + " reached " + kZone);
  if (answered == 0) {
    record.Add("result: no request was served");
    return kCouldNotRun;
  }
  record.Add(late > 0 ? "result: EVAC is broken" : "result: held");
  std::cout << (late > 0 ? "broken" : "held") << ": " << late << " of "
            << answered << " requests reached the evacuated zone\n";
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kArguments = 3;
  if (argc != kArguments) {
    std::cerr << "usage: stale_order FOLDER RECORD\n";
    return review::kCouldNotRun;
  }
  return review::Run(argv[1], argv[2]);
}
