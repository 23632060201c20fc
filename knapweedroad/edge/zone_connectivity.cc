#include "knapweedroad/edge/zone_connectivity.h"

#include <algorithm>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/registry/control_hosts_view.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {

bool ZoneConnectivity::Update(std::span<const ControlHostRecord> live,
                              const ControlHostsView& view) {
  const bool reaches_others =
      std::ranges::any_of(live, [&](const ControlHostRecord& host) {
        return !host.zone.empty() && host.zone != this->own;
      });
  this->has_reached_others |= reaches_others;
  const bool is_cut_off_now = this->has_reached_others && !reaches_others;
  const bool cut_off_before = std::exchange(this->cut_off, is_cut_off_now);
  const bool hears_all_now = view.has_full_view;
  const bool all_heard_before = std::exchange(this->all_heard, hears_all_now);
  if (cut_off_before != is_cut_off_now) {
    LogLine(is_cut_off_now ? "zone_cut_off" : "zone_reached")
        .Add("zone", this->own)
        .Add("control_hosts", live.size())
        .Warning();
  }
  if (all_heard_before != hears_all_now) {
    LogLine(hears_all_now ? "control_hosts_all_heard" : "control_hosts_missed")
        .Add("control_hosts", live.size())
        .Add("lost", view.unreachable)
        .Add("quorum_age_ms", QuorumAgeMs(view))
        .Info();
  }
  return cut_off_before != is_cut_off_now || all_heard_before != hears_all_now;
}

}  // namespace knapweedroad
