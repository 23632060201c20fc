// What entry hosts tell the owner of running roll-outs, and what it tells them
// to do.

#ifndef KNAPWEEDROAD_ROLLOUT_ROLLOUT_MESSAGES_H_
#define KNAPWEEDROAD_ROLLOUT_ROLLOUT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// How the attempts on one target ended, on one route.
struct AnswerSamples {
  TargetId target;
  std::string route;
  bool is_candidate = false;
  // A byte an attempt, see answer_sample.h.
  std::string samples;
  // Of attempts that were given up: for how long they had waited.
  std::string given_up;

  friend bool operator==(const AnswerSamples&, const AnswerSamples&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->route, this->is_candidate, this->samples,
            this->given_up);
  }
};

// One roll-out at one entry host.
struct RolloutProgress {
  ServiceId service;
  // RolloutRecord::number.
  uint64_t rollout_number = 0;
  // The directive that the host follows; zero: none, its last one has expired.
  uint64_t directive_sequence = 0;
  // Attempts sent since the host has heard of the order, and those of them
  // that went to the candidate.
  uint64_t sent = 0;
  uint64_t sent_to_candidate = 0;
  // Attempts on other versions that haven't ended.
  uint32_t stable_in_flight = 0;
  // Since the last report that had a reply.
  std::vector<AnswerSamples> answers;

  friend bool operator==(const RolloutProgress&,
                         const RolloutProgress&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->rollout_number, this->directive_sequence,
            this->sent, this->sent_to_candidate, this->stable_in_flight,
            this->answers);
  }
};

struct RolloutReport {
  HostId host;
  // Of the host's process: its counts begin anew with it.
  uint64_t epoch = 0;
  // Rises with each report.
  uint64_t sequence = 0;
  // Numbers the answers in it: while a report has no reply, the next one
  // repeats its answers under the same number.
  uint64_t answers_number = 0;
  std::vector<RolloutProgress> rollouts;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->epoch, this->sequence, this->answers_number,
            this->rollouts);
  }
};

// How entry hosts divide a service's requests. Valid for a while from the
// report that it answers; without one nothing goes to the candidate.
struct RolloutDirective {
  ServiceId service;
  // RolloutRecord::number.
  uint64_t rollout_number = 0;
  // Rises with each change.
  uint64_t sequence = 0;
  // Share of first attempts that the candidate gets, in thousandths.
  uint32_t candidate_permille = 0;
  // Whether anything may still go to the stable version.
  bool allows_stable = true;
  int64_t valid_ms = 0;

  friend bool operator==(const RolloutDirective&,
                         const RolloutDirective&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->rollout_number, this->sequence,
            this->candidate_permille, this->allows_stable, this->valid_ms);
  }
};

struct RolloutReportReply {
  std::vector<RolloutDirective> directives;
  // When the next report is wanted.
  int64_t next_ms = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->directives, this->next_ms);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ROLLOUT_MESSAGES_H_
