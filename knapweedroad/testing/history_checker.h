// Compares each answer of a run with what the stand-in searchers truly hold,
// and each "not run" with what they executed.
//
//   HistoryChecker checker(fronts);
//   checker.Check(call);                 // as each call ends
//   checker.CheckExecutions(executions); // once, at the end of the run
//   for (const BrokenPromise& broken : checker.broken()) ...
//
// A query shows every service's part only where its limit holds all hits;
// callers that want their coverage checked in full ask for that many.

#ifndef KNAPWEEDROAD_TESTING_HISTORY_CHECKER_H_
#define KNAPWEEDROAD_TESTING_HISTORY_CHECKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/run_outcome.h"
#include "knapweedroad/testing/broken_promise.h"
#include "knapweedroad/testing/call_record.h"

namespace knapweedroad {

// What the checker must know of a front, told apart from the system under
// test: the units of each service by generation.
struct FrontTruth {
  FrontId name;
  std::map<uint32_t, std::map<ServiceId, uint32_t>> units;
};

// What all stand-ins together executed, by request id and idempotency key.
struct ExecutionCounts {
  std::unordered_map<std::string, uint64_t> requests;
  std::unordered_map<std::string, uint64_t> keys;
};

class HistoryChecker {
 public:
  explicit HistoryChecker(const std::vector<FrontTruth>& fronts);

  void Check(const CallRecord& call);
  void CheckExecutions(const ExecutionCounts& executions);

  // The ids whose executions CheckExecutions() has to be told.
  const std::vector<std::string>& not_run_requests() const {
    return this->said_not_run;
  }
  const std::vector<std::string>& keys() const { return this->sent_keys; }

  // All that were seen by kind, and the first of each kind in full.
  const std::map<PromiseKind, uint64_t>& totals() const {
    return this->total_by_kind;
  }
  const std::vector<BrokenPromise>& broken() const { return this->first; }
  // Calls whose answer could be compared with the truth.
  uint64_t checked() const { return this->compared; }

 private:
  void CheckRefusal(const CallRecord& call);
  void Add(PromiseKind kind, const CallRecord& call, std::string detail);
  void Add(PromiseKind kind, std::string request_id, std::string detail);

  std::map<FrontId, FrontTruth> fronts;
  std::vector<std::string> said_not_run;
  std::vector<std::string> sent_keys;
  std::map<PromiseKind, uint64_t> total_by_kind;
  std::vector<BrokenPromise> first;
  uint64_t compared = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_HISTORY_CHECKER_H_
