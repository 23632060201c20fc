#include "knapweedroad/rollout/answer_sampler.h"

#include <utility>

#include "knapweedroad/rollout/answer_sample.h"

namespace knapweedroad {
namespace {

constexpr double kPermille = 1000;

VersionSplit MakeEndedSplit(const RolloutRecord& record) {
  const bool is_completed = record.state == RolloutState::kCompleted;
  return {.stable = record.stable,
          .candidate = record.candidate,
          .candidate_share = is_completed ? 1.0 : 0.0,
          .allows_stable = !is_completed};
}

}  // namespace

AnswerSampler::AnswerSampler(AnswerSamplerOptions options)
    : options(std::move(options)) {}

void AnswerSampler::SetRollouts(std::span<const RolloutRecord> rollouts) {
  std::unordered_map<ServiceId, RunningRollout> next_rollouts;
  this->ended_splits.clear();
  for (const RolloutRecord& record : rollouts) {
    if (record.state != RolloutState::kRunning) {
      this->ended_splits[record.service] = MakeEndedSplit(record);
      continue;
    }
    RunningRollout& rollout = next_rollouts[record.service];
    const auto previous = this->running_rollouts.find(record.service);
    const bool is_same = previous != this->running_rollouts.end() &&
                         previous->second.record.number == record.number;
    if (is_same) {
      rollout = std::move(previous->second);
      // Directives of a previous owner are no longer valid.
      if (rollout.record.owner != record.owner) {
        rollout.directive = {};
        rollout.directive_expires_at = TimePoint();
      }
    }
    rollout.record = record;
    if (!is_same) {
      this->DiscardAnswers(record.service);
    }
  }
  this->running_rollouts = std::move(next_rollouts);
  std::erase_if(this->owner_states,
                [owners = this->Owners()](const auto& entry) {
                  return !owners.contains(entry.first);
                });
}

void AnswerSampler::DiscardAnswers(const ServiceId& service) {
  for (auto& [id, state] : this->owner_states) {
    state.answers.erase(service);
  }
}

std::set<HostId> AnswerSampler::Owners() const {
  std::set<HostId> owners;
  for (const auto& [service, rollout] : this->running_rollouts) {
    owners.insert(rollout.record.owner);
  }
  return owners;
}

SampledAttempt AnswerSampler::OnSent(const ServiceId& service,
                                     const VersionId& version) {
  const auto found = this->running_rollouts.find(service);
  if (found == this->running_rollouts.end()) {
    return {};
  }
  RunningRollout& rollout = found->second;
  const bool is_candidate = version == rollout.record.candidate;
  ++rollout.sent;
  rollout.sent_to_candidate += is_candidate ? 1 : 0;
  rollout.stable_in_flight += is_candidate ? 0 : 1;
  return {.service = service,
          .rollout_number = rollout.record.number,
          .is_candidate = is_candidate};
}

AnswerSampler::RunningRollout* AnswerSampler::FindRunning(
    const SampledAttempt& attempt) {
  const auto found = this->running_rollouts.find(attempt.service);
  const bool is_same = found != this->running_rollouts.end() &&
                       found->second.record.number == attempt.rollout_number;
  return is_same ? &found->second : nullptr;
}

void AnswerSampler::OnEnded(const SampledAttempt& attempt) {
  RunningRollout* const rollout = this->FindRunning(attempt);
  if (rollout != nullptr && !attempt.is_candidate &&
      rollout->stable_in_flight > 0) {
    --rollout->stable_in_flight;
  }
}

AnswerSamples* AnswerSampler::FindOrAddSamples(const SampledAttempt& attempt,
                                               const TargetId& target,
                                               std::string_view route) {
  RunningRollout* const rollout = this->FindRunning(attempt);
  if (rollout == nullptr) {
    return nullptr;
  }
  AnswerSamples& samples = rollout->answers[{target, std::string(route)}];
  samples.target = target;
  samples.route = route;
  samples.is_candidate = attempt.is_candidate;
  return &samples;
}

void AnswerSampler::OnAnswered(const SampledAttempt& attempt,
                               const TargetId& target,
                               std::string_view route,
                               Duration latency) {
  if (AnswerSamples* const samples =
          this->FindOrAddSamples(attempt, target, route)) {
    samples->samples += static_cast<char>(EncodeLatencySample(latency));
  }
  this->OnEnded(attempt);
}

void AnswerSampler::OnFailed(const SampledAttempt& attempt,
                             const TargetId& target,
                             std::string_view route) {
  if (AnswerSamples* const samples =
          this->FindOrAddSamples(attempt, target, route)) {
    samples->samples += static_cast<char>(kFailedSample);
  }
  this->OnEnded(attempt);
}

void AnswerSampler::OnGivenUp(const SampledAttempt& attempt,
                              const TargetId& target,
                              std::string_view route,
                              Duration waited) {
  if (AnswerSamples* const samples =
          this->FindOrAddSamples(attempt, target, route)) {
    samples->given_up += static_cast<char>(EncodeLatencySample(waited));
  }
  this->OnEnded(attempt);
}

bool AnswerSampler::IsDirectiveValid(const RunningRollout& rollout,
                                     TimePoint now) {
  return now < rollout.directive_expires_at;
}

void AnswerSampler::CollectAnswers(const HostId& owner_id, OwnerState& state) {
  ++state.answers_number;
  state.answers.clear();
  for (auto& [service, rollout] : this->running_rollouts) {
    if (rollout.record.owner != owner_id) {
      continue;
    }
    std::vector<AnswerSamples>& collected = state.answers[service];
    for (auto& [key, samples] : rollout.answers) {
      collected.push_back(std::move(samples));
    }
    rollout.answers.clear();
  }
}

RolloutReport AnswerSampler::MakeReport(const HostId& owner_id, TimePoint now) {
  OwnerState& state = this->owner_states[owner_id];
  if (std::exchange(state.has_replied, false)) {
    this->CollectAnswers(owner_id, state);
  }
  RolloutReport report{.host = this->options.host,
                       .epoch = this->options.epoch,
                       .sequence = ++state.sequence,
                       .answers_number = state.answers_number};
  for (const auto& [service, rollout] : this->running_rollouts) {
    if (rollout.record.owner != owner_id) {
      continue;
    }
    report.rollouts.push_back(
        {.service = service,
         .rollout_number = rollout.record.number,
         .directive_sequence = IsDirectiveValid(rollout, now)
                                   ? rollout.directive.sequence
                                   : uint64_t{0},
         .sent = rollout.sent,
         .sent_to_candidate = rollout.sent_to_candidate,
         .stable_in_flight = rollout.stable_in_flight,
         .answers = state.answers[service]});
  }
  return report;
}

void AnswerSampler::OnReportReply(const HostId& owner_id,
                                  const RolloutReportReply& reply,
                                  TimePoint sent_at) {
  const auto owner = this->owner_states.find(owner_id);
  if (owner != this->owner_states.end()) {
    owner->second.has_replied = true;
  }
  for (const RolloutDirective& directive : reply.directives) {
    const auto found = this->running_rollouts.find(directive.service);
    if (found == this->running_rollouts.end()) {
      continue;
    }
    RunningRollout& rollout = found->second;
    if (rollout.record.owner != owner_id ||
        rollout.record.number != directive.rollout_number) {
      continue;
    }
    rollout.directive = directive;
    rollout.directive_expires_at =
        sent_at + std::chrono::milliseconds(directive.valid_ms);
  }
}

VersionSplit AnswerSampler::MakeSplit(const RunningRollout& rollout,
                                      TimePoint now) {
  VersionSplit split{.stable = rollout.record.stable,
                     .candidate = rollout.record.candidate};
  if (IsDirectiveValid(rollout, now)) {
    split.candidate_share = rollout.directive.candidate_permille / kPermille;
    split.allows_stable = rollout.directive.allows_stable;
  }
  return split;
}

std::unordered_map<ServiceId, VersionSplit> AnswerSampler::Splits(
    TimePoint now) const {
  std::unordered_map<ServiceId, VersionSplit> splits = this->ended_splits;
  for (const auto& [service, rollout] : this->running_rollouts) {
    splits[service] = MakeSplit(rollout, now);
  }
  return splits;
}

}  // namespace knapweedroad
