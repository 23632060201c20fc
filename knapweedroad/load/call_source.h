// The calls of a plan in the order of their planned times, from its seed.
//
//   CallSource source(plan, "run-7");
//   while (auto call = source.Next()) Send(*call);
//
// Arrivals of each stream are a Poisson process. The planned times depend on
// the plan alone, never on answers: an open loop.

#ifndef KNAPWEEDROAD_LOAD_CALL_SOURCE_H_
#define KNAPWEEDROAD_LOAD_CALL_SOURCE_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/testing/call_record.h"

namespace knapweedroad {

struct CallStream;
struct LoadPlan;

struct PlannedCall {
  // Since the run's start.
  Duration at{};
  // Without an answer yet.
  CallRecord call;
  // The caller leaves this long after the send.
  std::optional<Duration> cancel_after;
};

class CallSource {
 public:
  // The plan outlives this. `run` makes the request ids unique among runs.
  CallSource(const LoadPlan& plan, std::string run);

  // The next call; nothing at the end of the plan.
  std::optional<PlannedCall> Next();

 private:
  struct Stream {
    const CallStream* plan = nullptr;
    std::mt19937_64 random;
    Duration next_at{};
  };

  void Advance(Stream& stream);
  PlannedCall MakeCall(Stream& stream);

  std::string run;
  std::vector<Stream> streams;
  uint64_t number = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_CALL_SOURCE_H_
