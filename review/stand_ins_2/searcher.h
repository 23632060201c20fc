// A stand-in searcher: slots, a short queue, health answers, heartbeats.

#ifndef REVIEW_STAND_INS_2_SEARCHER_H_
#define REVIEW_STAND_INS_2_SEARCHER_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins_2/http.h"

namespace review {

struct SearcherOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::string ip;
  std::string version = "v1";
  // Of the control hosts.
  std::vector<std::string> control_ips;
  size_t slots = 2;
  size_t queue = 2;
  std::chrono::milliseconds work{60};
  // An idle connection is closed after it.
  std::chrono::milliseconds idle{10000};
  // Whether an answer is sent a second time, late: where the next answer on the
  // connection is expected. Unset: never.
  std::function<bool()> repeats_answer = nullptr;
  uint32_t seed = 1;
};

struct Run {
  std::string request_id;
  double at_ms = 0;
};

class Searcher {
 public:
  explicit Searcher(SearcherOptions options);
  ~Searcher();
  Searcher(const Searcher&) = delete;
  Searcher& operator=(const Searcher&) = delete;

  bool Start();
  // Stops the heartbeats and signs off; the address that acknowledged it, empty
  // if none did.
  std::string SignOff();
  void Stop();

  std::vector<Run> runs();
  const std::string& id() const { return this->options.id; }
  size_t answers() const { return this->answer_count; }
  size_t repeated() const { return this->repeated_count; }

 private:
  void Accept();
  void Serve(int socket);
  std::string Answer(const Message& request);
  bool TakeSlot();
  void GiveSlot();
  void KeepBeating();
  bool Beat();

  SearcherOptions options;
  std::string address;
  uint64_t born = 0;
  uint64_t sequence = 0;
  int listener = -1;
  std::atomic<bool> is_beating{true};
  std::atomic<bool> is_stopped{false};
  std::atomic<size_t> answer_count{0};
  std::atomic<size_t> repeated_count{0};
  std::mutex mutex;
  std::condition_variable freed;
  std::condition_variable ended;
  size_t running = 0;
  size_t waiting = 0;
  std::set<int> open;
  std::string beat_ip;
  std::vector<Run> all_runs;
  std::mt19937 random;
  std::thread acceptor;
  std::thread beater;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_2_SEARCHER_H_
