#include "review/stand_ins/platform.h"

namespace review {
namespace {

constexpr Milliseconds kQuestionInterval(1000);
constexpr Milliseconds kPoll(20);
// This many questions in a row without a 200 take a host out of rotation.
constexpr int kMissesOut = 2;

}  // namespace

Platform::Platform(const Deployment& deployment,
                   std::vector<Host>& hosts,
                   Record& record)
    : deployment(deployment),
      hosts(hosts),
      record(record),
      misses(hosts.size()),
      asker([this] { this->AskAll(); }) {}

Platform::~Platform() {
  this->is_stopped = true;
  this->asker.join();
}

void Platform::Ask(size_t number) {
  const bool is_ready = this->deployment.IsReady(this->hosts[number]);
  const std::lock_guard<std::mutex> lock(this->mutex);
  int& missed = this->misses[number];
  const bool was_in = missed < kMissesOut;
  missed = is_ready ? 0 : missed + 1;
  const bool is_in = missed < kMissesOut;
  if (was_in != is_in) {
    this->record.Add("platform takes " + this->hosts[number].name +
                     (is_in ? " into rotation" : " out of rotation"));
  }
}

void Platform::AskAll() {
  while (!this->is_stopped) {
    const TimePoint due = Clock::now() + kQuestionInterval;
    std::vector<std::thread> questions;
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      questions.emplace_back([this, i] { this->Ask(i); });
    }
    for (std::thread& question : questions) {
      question.join();
    }
    while (!this->is_stopped && Clock::now() < due) {
      std::this_thread::sleep_for(kPoll);
    }
  }
}

size_t Platform::ChooseHost(size_t client) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<size_t> in_use;
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    if (this->misses[i] < kMissesOut) {
      in_use.push_back(i);
    }
  }
  // With fewer than half of the zone's hosts in rotation, all are used. With
  // none it would be the hosts of another zone, which no case comes to.
  if (in_use.size() * 2 < this->hosts.size()) {
    in_use.clear();
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      in_use.push_back(i);
    }
  }
  return in_use[client % in_use.size()];
}

}  // namespace review
