// Messages between entry hosts and the control hosts that own running rollouts:
// reports on attempts from entry hosts, and directives in reply.

#ifndef KNAPWEEDROAD_ROLLOUT_ROLLOUT_MESSAGES_H_
#define KNAPWEEDROAD_ROLLOUT_ROLLOUT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// The outcomes of attempts on one target for one route.
struct AnswerSamples {
  TargetId target;
  std::string route;
  // Whether the target runs the candidate version.
  bool is_candidate = false;
  // One byte for each answered or failed attempt, see answer_sample.h.
  std::string samples;
  // One byte for each attempt that was given up without an answer: the latency
  // sample of the time waited.
  std::string given_up;

  friend bool operator==(const AnswerSamples&, const AnswerSamples&) = default;

  // Serializes the fields in wire order for cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->route, this->is_candidate, this->samples,
            this->given_up);
  }
};

// The progress of one rollout at one entry host.
struct RolloutProgress {
  ServiceId service;
  // RolloutRecord::number of the rollout.
  uint64_t rollout_number = 0;
  // RolloutDirective::sequence of the directive that the host applies. Zero
  // means none: it has not received one, or the last one has expired.
  uint64_t directive_sequence = 0;
  // The number of attempts sent since the host learned of the rollout, and of
  // those sent to the candidate.
  uint64_t sent = 0;
  uint64_t sent_to_candidate = 0;
  // The number of attempts in flight on versions other than the candidate.
  uint32_t stable_in_flight = 0;
  // Outcomes recorded since the last batch that was acknowledged by a reply.
  std::vector<AnswerSamples> answers;

  friend bool operator==(const RolloutProgress&,
                         const RolloutProgress&) = default;

  // Serializes the fields in wire order for cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->rollout_number, this->directive_sequence,
            this->sent, this->sent_to_candidate, this->stable_in_flight,
            this->answers);
  }
};

// A report of an entry host to one owner, on all running rollouts of that
// owner.
struct RolloutReport {
  HostId host;
  // Identifies the process of the host. Its counts restart at zero when the
  // epoch changes.
  uint64_t epoch = 0;
  // Increases with each report.
  uint64_t sequence = 0;
  // The number of the batch of answers in the report. Until a report is replied
  // to, the following ones repeat its batch under the same number, so that the
  // owner can skip a batch that it has counted.
  uint64_t answers_number = 0;
  std::vector<RolloutProgress> rollouts;

  // Serializes the fields in wire order for cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->host, this->epoch, this->sequence, this->answers_number,
            this->rollouts);
  }
};

// The division of a service's requests that an entry host is to apply. It is
// valid for `valid_ms` from the time at which the host sent the report that it
// replies to. A host without a valid directive sends nothing to the candidate.
struct RolloutDirective {
  ServiceId service;
  // RolloutRecord::number of the rollout.
  uint64_t rollout_number = 0;
  // Increases with each change of the directive. Zero means that the owner has
  // withheld its directive: nothing goes to the candidate.
  uint64_t sequence = 0;
  // The share of first attempts that go to the candidate, in thousandths.
  uint32_t candidate_permille = 0;
  // Whether requests may be sent to the stable version.
  bool allows_stable = true;
  int64_t valid_ms = 0;

  friend bool operator==(const RolloutDirective&,
                         const RolloutDirective&) = default;

  // Serializes the fields in wire order for cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->rollout_number, this->sequence,
            this->candidate_permille, this->allows_stable, this->valid_ms);
  }
};

// An owner's reply to a report.
struct RolloutReportReply {
  std::vector<RolloutDirective> directives;
  // The time until the next report, in milliseconds.
  int64_t next_ms = 0;

  // Serializes the fields in wire order for cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->directives, this->next_ms);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_ROLLOUT_MESSAGES_H_
