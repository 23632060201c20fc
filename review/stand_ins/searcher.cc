#include "review/stand_ins/searcher.h"

#include <cstdlib>
#include <utility>

#include "review/stand_ins/connection.h"
#include "review/stand_ins/wire.h"

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
constexpr int kGatewayTimeout = 504;

HttpMessage NotExecuted(int status) {
  HttpMessage answer{.status = status};
  answer.headers[WireText("not_executed_header")] = "1";
  return answer;
}

// The address that the answer to a heartbeat names for later ones.
Endpoint ReadHeartbeatAddress(const std::string& body) {
  const std::string key = WireText("heartbeat_address_begin");
  const size_t at = body.find(key);
  if (at == std::string::npos) {
    return {};
  }
  const size_t begin = at + key.size();
  const std::string text = body.substr(begin, body.find('"', begin) - begin);
  const size_t colon = text.rfind(':');
  return {text.substr(0, colon),
          static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1))};
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
  this->announcer.join();
  this->server.reset();
}

HttpMessage Searcher::Answer(const HttpMessage& request) {
  if (request.path == "/health") {
    return this->AnswerHealth();
  }
  const std::string expected =
      request.Header(WireText("expected_instance_header"));
  HttpMessage answer;
  if (!expected.empty() && expected != this->options.id) {
    answer = NotExecuted(kMisdirected);
  } else {
    answer = this->Run(request);
  }
  answer.headers[WireText("request_id_header")] =
      request.Header(WireText("request_id_header"));
  return answer;
}

// It waits for a slot as any other request does.
HttpMessage Searcher::AnswerHealth() {
  if (!this->TakeSlot(Clock::now() + kHeartbeatTimeout)) {
    return NotExecuted(kUnavailable);
  }
  this->LeaveSlot();
  HttpMessage answer{.status = kOk};
  answer.headers[WireText("instance_id_header")] = this->options.id;
  return answer;
}

HttpMessage Searcher::Run(const HttpMessage& request) {
  const std::string id = request.Header(WireText("request_id_header"));
  const std::string left = request.Header(WireText("deadline_header"));
  const Milliseconds allowed =
      left.empty() ? kLongestWait : Milliseconds(std::atoll(left.c_str()));
  const TimePoint deadline = Clock::now() + allowed;
  if (!this->TakeSlot(deadline)) {
    this->record.Add("searcher " + this->options.id + " rejects " + id);
    return NotExecuted(kUnavailable);
  }
  this->record.Add("searcher " + this->options.id + " of " +
                   this->options.zone + " runs " + id);
  if (this->options.on_run) {
    this->options.on_run(id);
  }
  const TimePoint done = Clock::now() + this->options.work(request.path);
  const bool is_in_time = done <= deadline;
  std::this_thread::sleep_until(is_in_time ? done : deadline);
  this->LeaveSlot();
  this->record.Add("searcher " + this->options.id +
                   (is_in_time ? " has run " : " stops at the deadline of ") +
                   id);
  HttpMessage answer{.status = is_in_time ? kOk : kGatewayTimeout};
  if (is_in_time) {
    answer.body = "record of " + id;
  }
  answer.headers[WireText("seal_header")] = this->options.id + "." + id;
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
  HttpMessage call{
      .method = "PUT",
      .path = WireText("instance_path", {{"id", this->options.id}})};
  call.headers["host"] = host.ToString();
  call.headers["content-type"] = "application/json";
  call.headers["connection"] = "close";
  call.body = WireText("announcement",
                       {{"service", this->options.service},
                        {"address", this->server->endpoint().ToString()},
                        {"zone", this->options.zone},
                        {"slots", std::to_string(this->options.slots)},
                        {"born", std::to_string(this->born)},
                        {"sequence", std::to_string(++this->sequence)}});
  const auto answer = Call(host, call, kHeartbeatTimeout);
  const bool is_acknowledged =
      answer && answer->status >= kOk && answer->status < kMultipleChoices;
  if (is_acknowledged) {
    const Endpoint named = ReadHeartbeatAddress(answer->body);
    this->heartbeat_address = named.port == 0 ? host : named;
  }
  return is_acknowledged;
}

void Searcher::Announce() {
  size_t next = 0;
  while (!this->is_stopped) {
    // An address that was acknowledged or named stays valid until it fails.
    if (this->heartbeat_address.port == 0 ||
        !this->Heartbeat(this->heartbeat_address)) {
      this->heartbeat_address = {};
      const std::vector<Endpoint>& hosts = this->options.control;
      for (size_t i = 0; i < hosts.size() && !this->is_stopped; ++i) {
        if (this->Heartbeat(hosts[next++ % hosts.size()])) {
          break;
        }
      }
    }
    const TimePoint due = Clock::now() + kHeartbeatInterval;
    while (!this->is_stopped && Clock::now() < due) {
      std::this_thread::sleep_for(kPoll);
    }
  }
}

}  // namespace review
