// A zone of three entry hosts has a rolling restart. While two of them are
// leaving, fewer than half are in rotation, so that the platform uses all. A
// leaving host takes these requests, sends them to targets, and must not end
// their connections without an answer.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/configuration.h"
#include "review/stand_ins/connection.h"
#include "review/stand_ins/deployment.h"
#include "review/stand_ins/operator.h"
#include "review/stand_ins/platform.h"
#include "review/stand_ins/record.h"
#include "review/stand_ins/searcher.h"
#include "review/stand_ins/wire.h"

namespace review {
namespace {

// Bounds of the small deployments.
constexpr Milliseconds kGracePeriod(6000);
// From the SIGTERM to the end of the time in which a cut counts.
constexpr Milliseconds kPlannedWork = kGracePeriod + Milliseconds(1000);
// A request that was sent later than this is not excused by a target that is
// still at work in the last sixth of the grace period.
constexpr Milliseconds kExcusedUntil(3000);
// Between the stops: the shortest of the small deployments is 1 s.
constexpr Milliseconds kBetweenStops(1000);
constexpr size_t kStopped = 2;

constexpr Milliseconds kReadyWithin(20'000);
constexpr Milliseconds kSettle(5000);
constexpr Milliseconds kRun(14'000);
constexpr Milliseconds kPoll(10);
constexpr int kDeadlineMs = 2500;
constexpr Milliseconds kConnectTimeout(1000);
constexpr Milliseconds kBetweenRequests(15);
// The work of a lookup of the small deployment takes 360 ms at most.
constexpr int kLeastWorkMs = 100;
constexpr int kMostWorkMs = 360;
constexpr size_t kSearchers = 8;
constexpr int kSlots = 6;
constexpr int kRestartDelayMs = 500;
constexpr int kOk = 200;
constexpr const char* kZone = "zone-a";

enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

Milliseconds Work(const std::string& path) {
  return Milliseconds(kLeastWorkMs + std::hash<std::string>()(path) %
                                         (kMostWorkMs - kLeastWorkMs));
}

struct Request {
  size_t host = 0;
  // When its last byte was sent; nothing: it wasn't.
  std::optional<TimePoint> sent;
  std::optional<TimePoint> ended;
  // 0: the connection ended without a complete answer.
  int status = 0;
  bool has_run = false;
};

class Requests {
 public:
  void OnSent(const std::string& id, size_t host) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->by_id[id].host = host;
    this->by_id[id].sent = Clock::now();
  }
  void OnRun(const std::string& id) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->by_id[id].has_run = true;
  }
  void OnEnded(const std::string& id, int status) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->by_id[id].ended = Clock::now();
    this->by_id[id].status = status;
  }
  std::map<std::string, Request> Take() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->by_id;
  }

 private:
  std::mutex mutex;
  std::map<std::string, Request> by_id;
};

// Sends one request over a new connection and waits for its answer.
void Ask(const Host& host,
         size_t number,
         const std::string& id,
         Requests& requests,
         Record& record) {
  HttpMessage request{.method = "POST", .path = kPathPrefix + id};
  request.headers["host"] = kCallerHost;
  request.headers[WireText("request_id_header")] = id;
  request.headers[WireText("deadline_header")] = std::to_string(kDeadlineMs);
  request.body = "correction";
  const auto connection =
      Connection::Open(host.served, Clock::now() + kConnectTimeout);
  if (connection == nullptr || !connection->Send(EncodeRequest(request))) {
    record.Add("client has no connection for " + id + " to " + host.name);
    return;
  }
  requests.OnSent(id, number);
  record.Add("client sends " + id + " to " + host.name);
  const auto answer =
      connection->Receive(Clock::now() + Milliseconds(kDeadlineMs));
  if (answer) {
    requests.OnEnded(id, answer->status);
    record.Add("client gets " + std::to_string(answer->status) + " to " + id);
  } else if (connection->was_closed()) {
    requests.OnEnded(id, 0);
    record.Add("client's connection ends without an answer to " + id);
  } else {
    record.Add("client's deadline passes for " + id);
  }
}

// Requests of many clients, until the end of this object.
class Clients {
 public:
  Clients(Platform& platform,
          std::vector<Host>& hosts,
          Requests& requests,
          Record& record)
      : sender([this, &platform, &hosts, &requests, &record] {
          for (size_t i = 0; !this->is_stopped; ++i) {
            const size_t host = platform.ChooseHost(i);
            this->open.emplace_back([&, i, host] {
              Ask(hosts[host], host, "request-" + std::to_string(i), requests,
                  record);
            });
            std::this_thread::sleep_for(kBetweenRequests);
          }
        }) {}
  ~Clients() {
    this->is_stopped = true;
    this->sender.join();
    for (std::thread& client : this->open) {
      client.join();
    }
  }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

 private:
  std::atomic<bool> is_stopped = false;
  std::vector<std::thread> open;
  std::thread sender;
};

// Whether the connection was cut around the stop of its host though the
// request had been passed on to a target.
bool IsLost(const Request& request, const std::optional<TimePoint>& stopped) {
  if (!stopped || !request.sent || !request.ended || request.status != 0 ||
      !request.has_run) {
    return false;
  }
  return *request.sent > *stopped + kExcusedUntil &&
         *request.ended < *stopped + kPlannedWork &&
         *request.ended < *request.sent + Milliseconds(kDeadlineMs);
}

// Stops two hosts in turn, and starts each again when it has ended.
std::vector<std::optional<TimePoint>> RestartInTurn(Deployment& deployment,
                                                    bool has_trouble,
                                                    Record& record) {
  std::vector<Host>& hosts = deployment.entries();
  std::vector<std::optional<TimePoint>> stopped(hosts.size());
  std::vector<std::optional<TimePoint>> start_at(hosts.size());
  const TimePoint began = Clock::now();
  size_t count = 0;
  while (Clock::now() < began + kRun) {
    if (has_trouble && count < kStopped &&
        Clock::now() >= began + kBetweenStops * count) {
      record.Add("SIGTERM to " + hosts[count].name);
      stopped[count] = Clock::now();
      hosts[count].process->Signal(SIGTERM);
      ++count;
    }
    for (size_t i = 0; i < count; ++i) {
      if (!start_at[i] && !hosts[i].process->IsRunning()) {
        record.Add(hosts[i].name + " has ended");
        start_at[i] = Clock::now() + Milliseconds(kRestartDelayMs);
      }
      if (start_at[i] && Clock::now() >= *start_at[i]) {
        deployment.Restart(hosts[i]);
        start_at[i] = TimePoint::max();
      }
      if (!start_at[i] && Clock::now() >= *stopped[i] + kGracePeriod) {
        hosts[i].process->Signal(SIGKILL);
      }
    }
    std::this_thread::sleep_for(kPoll);
  }
  return stopped;
}

int Judge(const std::map<std::string, Request>& requests,
          const std::vector<std::optional<TimePoint>>& stopped,
          Record& record) {
  size_t served = 0;
  size_t lost = 0;
  for (const auto& [id, request] : requests) {
    served += request.status == kOk ? 1 : 0;
    if (IsLost(request, stopped[request.host])) {
      ++lost;
      record.Add("lost: " + id + ", sent " +
                 std::to_string(record.At(*request.sent) -
                                record.At(*stopped[request.host])) +
                 " ms after the SIGTERM, cut " +
                 std::to_string(record.At(*request.ended) -
                                record.At(*stopped[request.host])) +
                 " ms after it");
    }
  }
  record.Add("served: " + std::to_string(served) +
             ", lost: " + std::to_string(lost));
  if (served == 0) {
    record.Add("result: no request was served");
    return kCouldNotRun;
  }
  record.Add(lost > 0 ? "result: LOST is broken" : "result: held");
  std::cout << (lost > 0 ? "broken" : "held") << ": " << lost << " lost, "
            << served << " served\n";
  return lost > 0 ? kBroken : kHeld;
}

int Run(const std::string& folder, const std::string& record_path) {
  const char* const trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(record_path);
  Deployment deployment({.binary = "target/bin/knapweedroad",
                         .folder = folder,
                         .control_zones = {kZone, "zone-b", "zone-c"},
                         .entry_zones = {kZone, kZone, kZone}},
                        record);
  deployment.StartAll();
  Requests requests;
  std::vector<std::unique_ptr<Searcher>> searchers;
  for (size_t i = 0; i < kSearchers; ++i) {
    searchers.push_back(std::make_unique<Searcher>(
        SearcherOptions{
            .id = "searcher-" + std::to_string(i),
            .service = kService,
            .zone = kZone,
            .ip = deployment.net() + "201",
            .slots = kSlots,
            .work = Work,
            .control = deployment.ControlEndpoints(),
            .on_run =
                [&requests](const std::string& id) { requests.OnRun(id); }},
        record));
  }
  Operator caller(deployment.ControlEndpoints(), record);
  const bool is_up =
      caller.Order(PutConfiguration("unsafe", kDeadlineMs), 0, kReadyWithin) &&
      deployment.AwaitReady(kReadyWithin);
  if (!is_up) {
    record.Add("result: the deployment didn't start");
    return kCouldNotRun;
  }
  std::vector<std::optional<TimePoint>> stopped;
  {
    Platform platform(deployment, deployment.entries(), record);
    const Clients clients(platform, deployment.entries(), requests, record);
    std::this_thread::sleep_for(kSettle);
    stopped = RestartInTurn(deployment, has_trouble, record);
  }
  return Judge(requests.Take(), stopped, record);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kArguments = 3;
  if (argc != kArguments) {
    std::cerr << "usage: late_request FOLDER RECORD\n";
    return review::kCouldNotRun;
  }
  return review::Run(argv[1], argv[2]);
}
