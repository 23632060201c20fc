// One target with its lease holder's queue, in virtual time: slots, a fair
// queue that refuses what can't begin before its deadline, and cancellation.

#ifndef BENCH_QUERY_SEARCHER_H_
#define BENCH_QUERY_SEARCHER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

#include "bench/query/event_queue.h"
#include "knapweedroad/admission/admission_request.h"
#include "knapweedroad/admission/fair_queue.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad::bench {

enum class JobEnd : uint8_t { kAnswered, kRefused, kExpired };

struct Job {
  AdmissionRequest request;
  Duration service_time{};
  // Called once, unless it is cancelled. With kRefused: when to come back.
  std::function<void(JobEnd end, Duration retry_after)> done;
};

struct SearcherOptions {
  uint32_t slots = 2;
  size_t max_queue = 64;
  // What the holder reckons a job takes.
  Duration expected_time{};
};

class Searcher {
 public:
  Searcher(EventQueue& events, SearcherOptions options);

  void Submit(Job job);
  void Cancel(const std::string& attempt);

  uint32_t running() const { return static_cast<uint32_t>(this->jobs.size()); }
  uint32_t queued() const { return this->queue.size(); }
  // Jobs that were begun, and the time slots were taken by them.
  uint64_t begun() const { return this->begun_jobs; }
  Duration busy() const { return this->busy_time; }

 private:
  struct Running {
    Job job;
    TimePoint begun;
    uint64_t number = 0;
  };

  void Begin(Job job);
  void End(uint64_t number);
  void BeginNext();

  EventQueue& events;
  SearcherOptions options;
  std::list<Running> jobs;
  FairQueue queue;
  std::map<std::string, Job> waiting;
  uint64_t begun_jobs = 0;
  Duration busy_time{};
};

}  // namespace knapweedroad::bench

#endif  // BENCH_QUERY_SEARCHER_H_
