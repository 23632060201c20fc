// Callers that send requests to the entry hosts at a steady rate, each on a
// connection of its own, and never repeat one.

#ifndef REVIEW_STAND_INS_2_CALLERS_H_
#define REVIEW_STAND_INS_2_CALLERS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct CallersOptions {
  // Of the entry hosts, which get the requests in turn.
  std::vector<std::string> entry_ips;
  std::string method;
  std::string path;
  std::string body = {};
  double requests_per_second = 10;
  std::chrono::milliseconds deadline{1500};
  uint32_t seed = 1;
};

struct Sent {
  double at_ms = 0;
  // Zero: no answer.
  int status = 0;
  std::string answered_by;
};

class Callers {
 public:
  explicit Callers(CallersOptions options);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Start();
  // Waits for the requests that are out.
  void Stop();
  std::map<std::string, Sent> sent();

 private:
  void Send(const std::string& ip, const std::string& id);
  void Run(size_t entry);

  CallersOptions options;
  std::atomic<bool> is_stopped{false};
  std::atomic<size_t> out{0};
  std::mutex mutex;
  std::map<std::string, Sent> all;
  std::vector<std::thread> threads;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_2_CALLERS_H_
