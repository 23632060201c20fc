// Confirms with a quorum of the control replicas, several times a second, which
// agreed version is the newest.
//
//   QuorumConfirmer confirmer({.service = service, ...});
//   confirmer.Run();  // in a fiber, until Stop()
//   std::optional<QuorumConfirmation> newest = confirmer.newest();

#ifndef KNAPWEEDROAD_EDGE_QUORUM_CONFIRMER_H_
#define KNAPWEEDROAD_EDGE_QUORUM_CONFIRMER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "knapweedroad/base/boot_clock.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

class ControlService;
struct ControlValue;

struct QuorumConfirmation {
  // No version above this one had been agreed when the confirmation began.
  uint64_t version = 0;
  BootTime began;
};

struct QuorumConfirmerOptions {
  // Outlives Run().
  ControlService& service;
  // Whether anything needs confirmations now; asked before each one.
  std::function<bool()> is_wanted;
  // Called with the agreed value of each successful confirmation, before it
  // becomes the newest one.
  std::function<void(uint64_t version, const std::string& text)> on_chosen;
  // Called after each successful confirmation; may be empty.
  std::function<void(const QuorumConfirmation&)> on_confirmed;
  // From the begin of one confirmation to that of the next.
  Duration interval = std::chrono::milliseconds(250);
};

// A confirmation asks the replicas without a vote and doesn't wait for changes
// of this host. Only after several that failed in a row although a quorum
// answered, as changes were under way or one was left half done, it takes a
// vote, which does wait for those changes, but not for long.
class QuorumConfirmer {
 public:
  explicit QuorumConfirmer(QuorumConfirmerOptions options);

  // Blocks the calling fiber until Stop(), and then for one confirmation at the
  // most. No hook is called after Stop().
  void Run();
  void Stop() { this->is_stopped = true; }

  // The newest successful confirmation; empty if there was none yet. It isn't
  // removed when later ones fail: callers compare `began` with their own bound.
  const std::optional<QuorumConfirmation>& newest() const {
    return this->newest_confirmation;
  }

 private:
  enum class Attempt : uint8_t {
    kConfirmed,
    // A quorum answered, but not with one value.
    kUndecided,
    kNoQuorum,
  };

  Attempt Confirm();
  // Confirms by a vote. Returns whether it succeeded.
  bool ConfirmByVote();
  void Take(const ControlValue& value, BootTime began);

  QuorumConfirmerOptions options;
  std::optional<QuorumConfirmation> newest_confirmation;
  std::minstd_rand random;
  // Attempts since the last success or vote that a quorum answered with
  // different values.
  int undecided = 0;
  int undecided_before_vote = 0;
  bool is_stopped = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_QUORUM_CONFIRMER_H_
