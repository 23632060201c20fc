// Records the outcomes of an entry host's attempts on services with a running
// rollout, reports them to the owners of the rollouts, and applies the
// directives that the owners reply with.
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

// An attempt in flight on a service, returned by AnswerSampler::OnSent().
struct SampledAttempt {
  // Empty if the service has no running rollout.
  ServiceId service;
  // RolloutRecord::number of the rollout.
  uint64_t rollout_number = 0;
  bool is_candidate = false;
};

struct AnswerSamplerOptions {
  HostId host;
  // Identifies this process. Has to differ from that of earlier processes.
  uint64_t epoch = 0;
};

// The rollouts of one entry host. Does no I/O: the caller sends the reports and
// passes in the replies. Not thread-safe.
class AnswerSampler {
 public:
  explicit AnswerSampler(AnswerSamplerOptions options);

  // Replaces the rollouts by those that the control hosts agreed on. Counts and
  // outcomes of a rollout are kept while its number stays the same, and dropped
  // otherwise. A directive is also dropped when the rollout gets another owner.
  void SetRollouts(std::span<const RolloutRecord> rollouts);

  // Returns whether any rollout is running.
  bool is_active() const { return !this->running_rollouts.empty(); }
  // Returns the owners of running rollouts, to which reports are sent.
  std::set<HostId> Owners() const;

  // Records that an attempt is sent to a target of `version`. The caller passes
  // the returned value to exactly one of the four functions below when the
  // attempt ends. They do nothing if the rollout has ended or was replaced.
  SampledAttempt OnSent(const ServiceId& service, const VersionId& version);
  // Records an answer and its latency.
  void OnAnswered(const SampledAttempt& attempt,
                  const TargetId& target,
                  std::string_view route,
                  Duration latency);
  // Records a failure.
  void OnFailed(const SampledAttempt& attempt,
                const TargetId& target,
                std::string_view route);
  // Records that the attempt was given up after waiting for `waited`.
  void OnGivenUp(const SampledAttempt& attempt,
                 const TargetId& target,
                 std::string_view route,
                 Duration waited);
  // Records an end that says nothing about the target. No outcome is reported.
  void OnEnded(const SampledAttempt& attempt);

  // Returns the next report to `owner`. Until OnReportReply() is called for the
  // owner, each report repeats the outcomes of the previous one, and new
  // outcomes are held back.
  RolloutReport MakeReport(const HostId& owner, TimePoint now);
  // Applies the reply of `owner` to a report that was sent at `sent_at`. The
  // directives are valid from `sent_at` on. Directives of another owner or for
  // another rollout of the service are ignored.
  void OnReportReply(const HostId& owner,
                     const RolloutReportReply& reply,
                     TimePoint sent_at);

  // Returns the version split at `now` for each service that has a rollout,
  // running or ended. A running rollout without a valid directive sends nothing
  // to its candidate.
  std::unordered_map<ServiceId, VersionSplit> Splits(TimePoint now) const;

 private:
  struct RunningRollout {
    RolloutRecord record;
    uint64_t sent = 0;
    uint64_t sent_to_candidate = 0;
    uint32_t stable_in_flight = 0;
    // Outcomes that are not yet in a report, by target and route.
    std::map<std::pair<TargetId, std::string>, AnswerSamples> answers;
    RolloutDirective directive;
    TimePoint directive_expires_at;
  };

  // The state of reporting to one owner.
  struct OwnerState {
    uint64_t sequence = 0;
    uint64_t answers_number = 0;
    bool has_replied = true;
    // The current batch of outcomes, repeated until the owner replies.
    std::unordered_map<ServiceId, std::vector<AnswerSamples>> answers;
  };

  // Returns null if the attempt's rollout has ended or was replaced.
  RunningRollout* FindRunning(const SampledAttempt& attempt);
  // Starts a new batch with all outcomes for this owner.
  void CollectAnswers(const HostId& owner_id, OwnerState& state);
  // Removes the outcomes of an earlier rollout of the service from all batches.
  void DiscardAnswers(const ServiceId& service);
  // Returns null if the attempt's rollout has ended or was replaced.
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
