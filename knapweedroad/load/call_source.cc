#include "knapweedroad/load/call_source.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/load/load_plan.h"

namespace knapweedroad {
namespace {

double Uniform(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

const CallerMix& PickCaller(const CallStream& stream, std::mt19937_64& random) {
  double total = 0.0;
  for (const CallerMix& mix : stream.callers) {
    total += mix.share;
  }
  double rest = Uniform(random) * total;
  for (const CallerMix& mix : stream.callers) {
    rest -= mix.share;
    if (rest < 0.0) {
      return mix;
    }
  }
  return stream.callers.back();
}

}  // namespace

CallSource::CallSource(const LoadPlan& plan, std::string run)
    : run(std::move(run)) {
  uint64_t index = 0;
  for (const CallStream& stream : plan.streams) {
    std::seed_seq seeds{plan.seed, ++index};
    Stream source{.plan = &stream,
                  .random = std::mt19937_64(seeds),
                  .next_at = stream.from};
    this->Advance(source);
    this->streams.push_back(source);
  }
}

std::optional<PlannedCall> CallSource::Next() {
  const auto first =
      std::min_element(this->streams.begin(), this->streams.end(),
                       [](const Stream& left, const Stream& right) {
                         return left.next_at < right.next_at;
                       });
  if (first == this->streams.end() || first->next_at == Duration::max()) {
    return std::nullopt;
  }
  PlannedCall call = this->MakeCall(*first);
  this->Advance(*first);
  return call;
}

void CallSource::Advance(Stream& stream) {
  std::exponential_distribution<double> gap(stream.plan->rate_per_second);
  const std::chrono::duration<double> wait(gap(stream.random));
  stream.next_at += std::chrono::duration_cast<Duration>(wait);
  if (stream.next_at >= stream.plan->until) {
    stream.next_at = Duration::max();
  }
}

PlannedCall CallSource::MakeCall(Stream& stream) {
  const CallStream& plan = *stream.plan;
  const CallerMix& mix = PickCaller(plan, stream.random);
  const std::string unique = this->run + "-" + std::to_string(++this->number);
  PlannedCall planned{.at = stream.next_at};
  CallRecord& call = planned.call;
  call.front = plan.front;
  call.tenant = mix.tenant;
  call.request_class = mix.request_class;
  call.request_id = "q-" + unique;
  call.limit = plan.limit;
  call.deadline = plan.deadline;
  const auto subject =
      static_cast<uint64_t>(Uniform(stream.random) * plan.distinct_subjects);
  if (plan.is_search) {
    call.kind = CallKind::kQuery;
    call.subject = "query " + std::to_string(subject);
  } else {
    const bool is_lookup = Uniform(stream.random) < plan.lookup_share;
    call.kind = is_lookup ? CallKind::kLookup : CallKind::kRecord;
    call.subject = "r-" + std::to_string(subject);
    call.idempotency_key = is_lookup ? "k-" + unique : "";
  }
  if (Uniform(stream.random) < plan.cancel_share) {
    planned.cancel_after = std::chrono::duration_cast<Duration>(
        plan.deadline * Uniform(stream.random));
  }
  return planned;
}

}  // namespace knapweedroad
