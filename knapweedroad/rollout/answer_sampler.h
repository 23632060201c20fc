// What an entry host sees of the services that have a running
// roll-out, as it reports it to the owners of the roll-outs, and the directives
// that they answer.
//
//   AnswerSampler sampler({.host = name, .epoch = epoch});
//   sampler.SetRollouts(agreed_rollouts);
//   SampledAttempt sampled = sampler.OnSent(service, version);
//   sampler.OnAnswered(sampled, target, route, latency);
//   RolloutReport report = sampler.MakeReport(owner, now);
//   sampler.OnReportReply(owner, reply, sent_at);
//   VersionSplit split = sampler.Splits(now).at(service);

#ifndef KNAPWEEDROAD_ROLLOUT_ANSWER_SAMPLER_H_
#define KNAPWEEDROAD_ROLLOUT_ANSWER_SAMPLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/rollout/rollout_messages.h"
#include "knapweedroad/rollout/rollout_record.h"
#include "knapweedroad/rollout/version_split.h"

namespace knapweedroad {

// An attempt on a service, until it ends.
struct SampledAttempt {
  // Empty: the service has no running roll-out.
  ServiceId service;
  uint64_t rollout_number = 0;
  bool is_candidate = false;
};

struct AnswerSamplerOptions {
  HostId host;
  // Of this process; differs with each start.
  uint64_t epoch = 0;
};

class AnswerSampler {
 public:
  explicit AnswerSampler(AnswerSamplerOptions options);

  // The agreed roll-outs; what is kept of others is dropped.
  void SetRollouts(std::span<const RolloutRecord> rollouts);

  // Whether any roll-out runs.
  bool is_active() const { return !this->running_rollouts.empty(); }
  // Whom reports go to.
  std::set<HostId> Owners() const;

  // Each attempt is OnSent() once, and ends with one of the others.
  SampledAttempt OnSent(const ServiceId& service, const VersionId& version);
  void OnAnswered(const SampledAttempt& attempt,
                  const TargetId& target,
                  std::string_view route,
                  Duration latency);
  void OnFailed(const SampledAttempt& attempt,
                const TargetId& target,
                std::string_view route);
  // Nobody waits for it any more.
  void OnGivenUp(const SampledAttempt& attempt,
                 const TargetId& target,
                 std::string_view route,
                 Duration waited);
  // It ended in a way that tells nothing of the target.
  void OnEnded(const SampledAttempt& attempt);

  // What that owner is to hear; until it has answered, each report repeats the
  // answers of the one before.
  RolloutReport MakeReport(const HostId& owner, TimePoint now);
  // Its directives are valid from `sent_at` on, when the report was sent.
  void OnReportReply(const HostId& owner,
                     const RolloutReportReply& reply,
                     TimePoint sent_at);

  // How the requests of each service with a roll-out, ended or not, are
  // to be divided now.
  std::unordered_map<ServiceId, VersionSplit> Splits(TimePoint now) const;

 private:
  struct RunningRollout {
    RolloutRecord record;
    uint64_t sent = 0;
    uint64_t sent_to_candidate = 0;
    uint32_t stable_in_flight = 0;
    // By target and route.
    std::map<std::pair<TargetId, std::string>, AnswerSamples> answers;
    RolloutDirective directive;
    TimePoint directive_expires_at;
  };

  struct OwnerState {
    uint64_t sequence = 0;
    uint64_t answers_number = 0;
    bool has_replied = true;
    // Reported, and repeated while it hasn't replied.
    std::unordered_map<ServiceId, std::vector<AnswerSamples>> answers;
  };

  RunningRollout* FindRunning(const SampledAttempt& attempt);
  void CollectAnswers(const HostId& owner_id, OwnerState& state);
  // Of an earlier roll-out of the service.
  void DiscardAnswers(const ServiceId& service);
  AnswerSamples* FindOrAddSamples(const SampledAttempt& attempt,
                                  const TargetId& target,
                                  std::string_view route);
  static bool IsDirectiveValid(const RunningRollout& rollout, TimePoint now);
  static VersionSplit MakeSplit(const RunningRollout& rollout, TimePoint now);

  AnswerSamplerOptions options;
  std::unordered_map<ServiceId, RunningRollout> running_rollouts;
  std::unordered_map<ServiceId, VersionSplit> ended_splits;
  std::map<HostId, OwnerState> owner_states;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ANSWER_SAMPLER_H_
