#include "knapweedroad/routing/zone_reachability.h"

#include <cstddef>
#include <utility>

namespace knapweedroad {
namespace {

// One or two silent targets may have crashed together; that this many are
// silent and not one other answers points to the network.
constexpr size_t kMinSilentTargets = 3;
constexpr size_t kMaxRecordedTargets = 8;
// While a zone can be reached its targets answer a hundred times a second; even
// a host with a request a second hears from them more often than this.
constexpr Duration kMinTargetSilence = std::chrono::milliseconds(400);
// A host that is told of a cut follows control hosts of other zones. They
// answer their first call within this, and then once a second at the least.
constexpr Duration kFirstControlReply = std::chrono::milliseconds(350);
constexpr Duration kMinControlSilence = std::chrono::milliseconds(1200);
// Weight of a request in the smoothed share: the last three or so decide.
constexpr double kRequestWeight = 0.3;
constexpr double kMaxUnservedShare = 0.5;
// The same where the zone is known to lack targets: one refusal is enough.
constexpr double kMaxUnservedShareMissingTargets = 0.25;
// Without a request for this long a host knows nothing of what callers need.
constexpr Duration kIdleAfter = std::chrono::seconds(1);

}  // namespace

bool ZoneReachability::OnAnswered(TimePoint now) {
  const bool was_cut_off = this->is_cut_off(now);
  this->unanswered.clear();
  this->answered_at = now;
  this->diverting = false;
  if (was_cut_off) {
    this->unserved_share = 0;
  }
  return was_cut_off;
}

void ZoneReachability::OnUnanswered(const TargetId& target) {
  if (this->unanswered.size() < kMaxRecordedTargets) {
    this->unanswered.insert(target);
  }
}

void ZoneReachability::OnControlReport(bool is_cut_off, TimePoint now) {
  if (!is_cut_off && this->reported_cut_off) {
    this->reported_cut_off = false;
    this->OnAnswered(now);
  }
  if (!std::exchange(this->reported_cut_off, is_cut_off)) {
    this->reported_at = now;
  }
}

void ZoneReachability::OnRequestEnded(bool is_served, TimePoint now) {
  this->last_request = now;
  this->unserved_share = this->unserved_share * (1 - kRequestWeight) +
                         (is_served ? 0 : kRequestWeight);
}

// A control host that has lost the others may tell of a cut while entry hosts
// reach other zones well, so its word counts only with silence from there.
bool ZoneReachability::is_cut_off(TimePoint now) const {
  const Duration silence = now - this->answered_at;
  return (this->reported_cut_off &&
          now - this->reported_at >= kFirstControlReply &&
          silence >= kMinControlSilence) ||
         (this->unanswered.size() >= kMinSilentTargets &&
          silence >= kMinTargetSilence);
}

// Only a host that hears nothing from outside sends callers away: where a
// service is down everywhere, hosts of all zones would otherwise send them in
// circles.
//
// The balancer leaves a zone only once none of its hosts is ready. A host that
// no caller has reached lately therefore decides by what its zone could serve.
bool ZoneReachability::ShouldDivert(bool zone_serves_all, TimePoint now) {
  if (!this->is_cut_off(now)) {
    this->diverting = false;
    return false;
  }
  const bool is_idle = now - this->last_request > kIdleAfter;
  const double max_unserved_share =
      zone_serves_all ? kMaxUnservedShare : kMaxUnservedShareMissingTargets;
  if (this->unserved_share > max_unserved_share ||
      (is_idle && !zone_serves_all)) {
    this->diverting = true;
  }
  return this->diverting;
}

}  // namespace knapweedroad
