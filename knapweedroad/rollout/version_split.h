// The division of a service's requests between two versions of its targets, as
// one entry host applies it.

#ifndef KNAPWEEDROAD_ROLLOUT_VERSION_SPLIT_H_
#define KNAPWEEDROAD_ROLLOUT_VERSION_SPLIT_H_

#include "knapweedroad/base/id.h"

namespace knapweedroad {

struct VersionSplit {
  // The version in use before the rollout. Empty means any version other than
  // the candidate.
  VersionId stable;
  VersionId candidate;
  // The share of first attempts that go to the candidate, from 0 to 1. Retries
  // and hedges go to the stable version while `allows_stable` is true.
  double candidate_share = 0;
  // Whether requests may be sent to the stable version.
  bool allows_stable = true;

  friend bool operator==(const VersionSplit&, const VersionSplit&) = default;

  // Returns whether `version` counts as the stable version.
  bool IsStable(const VersionId& version) const {
    return version != this->candidate &&
           (this->stable.empty() || version == this->stable);
  }
  // Returns whether requests may be sent to targets of `version`.
  bool Allows(const VersionId& version) const {
    return version == this->candidate
               ? this->candidate_share > 0
               : this->allows_stable && this->IsStable(version);
  }
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROLLOUT_VERSION_SPLIT_H_
