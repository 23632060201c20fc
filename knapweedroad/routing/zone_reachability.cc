#include "knapweedroad/routing/zone_reachability.h"

#include <cstddef>
#include <utility>

namespace knapweedroad {
namespace {

// One or two silent targets may have crashed at the same time. If this many are
// silent and none answers, the network is the likely cause.
constexpr size_t kMinSilentTargets = 3;
constexpr size_t kMaxRecordedTargets = 8;
// Targets of a reachable zone answer about a hundred times a second. Even a
// host with one request a second receives answers more often than this.
constexpr Duration kMinTargetSilence = std::chrono::milliseconds(400);
// A host whose zone is reported as cut off also follows control hosts of other
// zones. Those that are reachable answer the first call within
// kFirstControlReply, and then at least once a second.
constexpr Duration kFirstControlReply = std::chrono::milliseconds(350);
constexpr Duration kMinControlSilence = std::chrono::milliseconds(1200);
// Weight of one request in the moving average, so that about the last three
// requests decide.
constexpr double kRequestWeight = 0.3;
constexpr double kMaxUnservedShare = 0.5;
// Applies when the zone lacks targets for some route: one refusal is enough.
constexpr double kMaxUnservedShareMissingTargets = 0.25;
// After this long without a request, the share of unserved requests says
// nothing about the requests that callers send now.
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

// A control host that has lost the others may report a cut-off while entry
// hosts still reach other zones. Its report therefore counts only if no answer
// has come from other zones.
bool ZoneReachability::is_cut_off(TimePoint now) const {
  const Duration silence = now - this->answered_at;
  return (this->reported_cut_off &&
          now - this->reported_at >= kFirstControlReply &&
          silence >= kMinControlSilence) ||
         (this->unanswered.size() >= kMinSilentTargets &&
          silence >= kMinTargetSilence);
}

// Only a host that receives no answers from other zones diverts callers. When a
// service is down in all zones, hosts would otherwise divert callers from zone
// to zone without end.
//
// The balancer stops using a zone only when none of its hosts is ready. A host
// without recent requests therefore decides by what its zone can serve.
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
