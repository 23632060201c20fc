#include "review/stand_ins_2/callers.h"

#include <array>
#include <cstdio>
#include <random>
#include <utility>

#include "review/stand_ins_2/deployment.h"
#include "review/stand_ins_2/http.h"
#include "review/stand_ins_2/record.h"
#include "review/stand_ins_2/wire.h"

namespace review {
namespace {

using std::chrono::milliseconds;

// After its deadline a caller waits this long for a late answer.
constexpr milliseconds kSlack{1000};

std::string MakeId(std::mt19937_64& random) {
  std::array<char, 17> text{};
  (void)std::snprintf(text.data(), text.size(), "%016llx",
                      static_cast<unsigned long long>(random()));
  return text.data();
}

}  // namespace

Callers::Callers(CallersOptions options) : options(std::move(options)) {}

Callers::~Callers() {
  this->Stop();
}

void Callers::Start() {
  for (size_t i = 0; i < this->options.entry_ips.size(); ++i) {
    this->threads.emplace_back([this, i] { this->Run(i); });
  }
}

void Callers::Run(size_t entry) {
  std::mt19937_64 random(uint64_t{this->options.seed} * 1000 + entry);
  std::exponential_distribution<double> pause(
      this->options.requests_per_second /
      static_cast<double>(this->options.entry_ips.size()));
  while (!this->is_stopped) {
    std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
    ++this->out;
    std::thread([this, entry, id = MakeId(random)] {
      this->Send(this->options.entry_ips[entry], id);
      --this->out;
    }).detach();
  }
}

void Callers::Send(const std::string& ip, const std::string& id) {
  Note("sent " + id + " to " + ip);
  {
    const std::lock_guard lock(this->mutex);
    this->all[id].at_ms = Since();
  }
  const std::string headers = "Host: a.example\r\n" + Wire("request_id") +
                              ": " + id + "\r\n" + Wire("deadline") + ": " +
                              std::to_string(this->options.deadline.count()) +
                              "\r\n";
  const auto answer =
      Ask(ip, kCallerPort, this->options.method, this->options.path, headers,
          this->options.body, this->options.deadline + kSlack);
  Sent result{.status = answer ? answer->status : 0,
              .answered_by = answer ? answer->Header(Wire("seal")) : ""};
  Note("answered " + id + " " + std::to_string(result.status) + " " +
       result.answered_by);
  const std::lock_guard lock(this->mutex);
  result.at_ms = this->all[id].at_ms;
  this->all[id] = result;
}

void Callers::Stop() {
  this->is_stopped = true;
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
  while (this->out > 0) {
    std::this_thread::sleep_for(milliseconds(10));
  }
}

std::map<std::string, Sent> Callers::sent() {
  const std::lock_guard lock(this->mutex);
  return this->all;
}

}  // namespace review
