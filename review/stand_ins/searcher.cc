#include "review/stand_ins/searcher.h"

#include <cstdlib>
#include <utility>

#include "review/stand_ins/connection.h"

namespace review {
namespace {

constexpr Milliseconds kHeartbeatInterval(1200);
// A heartbeat that isn't acknowledged within a second goes to the next host.
constexpr Milliseconds kHeartbeatTimeout(1000);
constexpr Milliseconds kPoll(20);
constexpr Milliseconds kLongestWait(10'000);
constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

HttpMessage NotExecuted(int status) {
  HttpMessage answer{.status = status};
  answer.headers["x-not-executed"] = "1";
  return answer;
}

}  // namespace

Searcher::Searcher(SearcherOptions given, Record& record)
    : options(std::move(given)), record(record) {
  this->born = std::chrono::duration_cast<Milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
  this->server = std::make_unique<HttpServer>(
      this->options.ip,
      [this](const HttpMessage& request) { return this->Answer(request); });
  this->announcer = std::thread([this] { this->Announce(); });
}

Searcher::~Searcher() {
  this->is_stopped = true;
  if (this->announcer.joinable()) {
    this->announcer.join();
  }
  this->server.reset();
}

HttpMessage Searcher::Answer(const HttpMessage& request) {
  if (request.path == "/health") {
    HttpMessage answer{.status = kOk};
    answer.headers["x-instance-id"] = this->options.id;
    return answer;
  }
  const std::string expected = request.Header("x-expected-instance");
  HttpMessage answer;
  if (!expected.empty() && expected != this->options.id) {
    answer = NotExecuted(kMisdirected);
  } else {
    answer = this->Run(request);
  }
  answer.headers["x-request-id"] = request.Header("x-request-id");
  return answer;
}

HttpMessage Searcher::Run(const HttpMessage& request) {
  const std::string id = request.Header("x-request-id");
  const std::string left = request.Header("x-request-deadline");
  const Milliseconds allowed =
      left.empty() ? kLongestWait : Milliseconds(std::atoll(left.c_str()));
  if (!this->TakeSlot(Clock::now() + allowed)) {
    this->record.Add("searcher " + this->options.id + " rejects " + id);
    return NotExecuted(kUnavailable);
  }
  this->record.Add("searcher " + this->options.id + " of " +
                   this->options.zone + " runs " + id);
  if (this->options.on_run) {
    this->options.on_run(id);
  }
  std::this_thread::sleep_for(this->options.work(request.path));
  this->LeaveSlot();
  this->record.Add("searcher " + this->options.id + " has run " + id);
  HttpMessage answer{.status = kOk, .body = "record of " + id};
  answer.headers["x-response-seal"] = this->options.id + "." + id;
  return answer;
}

bool Searcher::TakeSlot(TimePoint deadline) {
  std::unique_lock<std::mutex> lock(this->mutex);
  if (this->running >= this->options.slots &&
      this->waiting >= this->options.queue) {
    return false;
  }
  ++this->waiting;
  const bool has_slot = this->changed.wait_until(
      lock, deadline, [this] { return this->running < this->options.slots; });
  --this->waiting;
  this->running += has_slot ? 1 : 0;
  return has_slot;
}

void Searcher::LeaveSlot() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  --this->running;
  this->changed.notify_one();
}

bool Searcher::Heartbeat(const Endpoint& host) {
  HttpMessage call{.method = "PUT",
                   .path = "/v1/instances/" + this->options.id};
  call.headers["host"] = host.ToString();
  call.headers["content-type"] = "application/json";
  call.headers["connection"] = "close";
  call.body = R"({"Service":")" + this->options.service + R"(","Address":")" +
              this->server->endpoint().ToString() + R"(","Zone":")" +
              this->options.zone + R"(","Version":"v1","Slots":)" +
              std::to_string(this->options.slots) +
              R"(,"State":"ready","ColdRemainingMs":0,"born":)" +
              std::to_string(this->born) + R"(,"Sequence":)" +
              std::to_string(++this->sequence) + "}";
  const auto answer = Call(host, call, kHeartbeatTimeout);
  return answer && answer->status >= kOk && answer->status < kMultipleChoices;
}

std::optional<TimePoint> Searcher::SignOff(const Endpoint& host) {
  this->is_leaving = true;
  this->announcer.join();
  HttpMessage call{.method = "DELETE",
                   .path = "/v1/instances/" + this->options.id};
  call.headers["host"] = host.ToString();
  call.headers["connection"] = "close";
  const auto answer = Call(host, call, kHeartbeatTimeout);
  const TimePoint now = Clock::now();
  this->record.Add("searcher " + this->options.id + " gets " +
                   (answer ? std::to_string(answer->status) : "no response") +
                   " to its DELETE from " + host.ToString());
  return answer && answer->status == kOk ? std::optional(now) : std::nullopt;
}

void Searcher::Announce() {
  size_t next = 0;
  while (!this->is_stopped && !this->is_leaving) {
    const std::vector<Endpoint>& hosts = this->options.control;
    for (size_t i = 0;
         i < hosts.size() && !this->is_stopped && !this->is_leaving; ++i) {
      if (this->Heartbeat(hosts[next % hosts.size()])) {
        break;
      }
      ++next;
    }
    const TimePoint due = Clock::now() + kHeartbeatInterval;
    while (!this->is_stopped && !this->is_leaving && Clock::now() < due) {
      std::this_thread::sleep_for(kPoll);
    }
  }
}

}  // namespace review
