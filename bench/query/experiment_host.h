// One coordinator of an experiment: the decision classes, and the wires of the
// virtual network between them and the searchers.

#ifndef BENCH_QUERY_EXPERIMENT_HOST_H_
#define BENCH_QUERY_EXPERIMENT_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "bench/query/event_queue.h"
#include "bench/query/experiment.h"
#include "bench/query/searcher.h"
#include "knapweedroad/query/front_state.h"
#include "knapweedroad/query/query_limiter.h"
#include "knapweedroad/query/query_run.h"

namespace knapweedroad::bench {

struct FleetTarget {
  ServiceId service;
  ZoneId zone;
  std::unique_ptr<Searcher> searcher;
};

struct Fleet {
  std::map<TargetId, FleetTarget> targets;
  // As hosts see it: with loads of a while ago.
  std::map<ServiceId, std::vector<TargetCandidate>> view;
  std::mt19937_64 service_times;
  uint64_t attempts = 0;
};

class ExperimentHost {
 public:
  ExperimentHost(EventQueue& events,
                 Fleet& fleet,
                 const ExperimentOptions& options,
                 const FrontConfig& front,
                 const ZoneId& zone,
                 ExperimentResult& result);

  void Ask(const std::string& tenant, const std::string& class_name);

 private:
  struct Open {
    std::unique_ptr<QueryRun> run;
    QueryRecord record;
    TimePoint deadline;
  };

  QueryHooks Hooks();
  void Perform(uint64_t query, const QueryActions& actions);
  AdmissionRequest RequestOf(uint64_t query, const SendAttempt& send) const;
  void Send(uint64_t query, const SendAttempt& send);
  void Deliver(uint64_t query,
               const SendAttempt& send,
               JobEnd end,
               Duration retry_after);
  void Cancel(const CancelAttempt& cancel);
  void Finish(uint64_t query, double coverage, bool refused);
  void Arm(uint64_t query);
  Duration HopTo(const TargetId& target) const;
  Duration ServiceTime();

  EventQueue& events;
  Fleet& fleet;
  const ExperimentOptions& options;
  const FrontConfig& front;
  ZoneId zone;
  ExperimentResult& result;
  FrontState state;
  QueryLimiter limiter;
  std::mt19937_64 random;
  uint64_t queries = 0;
  std::map<uint64_t, Open> open;
};

}  // namespace knapweedroad::bench

#endif  // BENCH_QUERY_EXPERIMENT_HOST_H_
