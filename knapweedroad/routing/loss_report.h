// What entry hosts tell each other about requests that have lost targets, so
// that a caller's repeat at another host doesn't begin anew.

#ifndef KNAPWEEDROAD_ROUTING_LOSS_REPORT_H_
#define KNAPWEEDROAD_ROUTING_LOSS_REPORT_H_

#include <cstdint>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// A target that closed the connection of an attempt without an answer.
struct LostTarget {
  ServiceId service;
  TargetId target;
  // Attempts of a later round were sent after a target of an earlier round was
  // lost.
  uint32_t round = 1;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->target, this->round);
  }
};

struct LossReport {
  // RequestFingerprint.
  uint64_t fingerprint = 0;
  std::vector<LostTarget> lost;
  // Whether a service has answered the request since a target was lost, so that
  // each is judged by itself.
  bool has_answer = false;
  // How many more times it is passed on.
  uint8_t hops_left = 0;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->fingerprint, this->lost, this->has_answer, this->hops_left);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_LOSS_REPORT_H_
