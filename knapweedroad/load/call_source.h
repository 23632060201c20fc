// Generates the calls of a plan in the order of their planned times. The same
// plan and seed give the same calls.
//
//   CallSource source(plan, "run-7");
//   while (auto call = source.Next()) Send(*call);
//
// Arrivals of each stream are a Poisson process. The planned times depend only
// on the plan, not on answers (open-loop load).

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
  // Planned send time, since the start of the run.
  Duration at{};
  // The request; its answer fields are empty until the call is sent.
  CallRecord call;
  // If set, the client cancels the call this long after it was sent.
  std::optional<Duration> cancel_after;
};

class CallSource {
 public:
  // `plan` must outlive this object. `run` is a part of every request id and
  // makes the ids unique among runs.
  CallSource(const LoadPlan& plan, std::string run);

  // Returns the next call, or nullopt after the last call of the plan.
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
