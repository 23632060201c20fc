#include "knapweedroad/registry/control_host_selection.h"

#include <criterion/criterion.h>

#include <string>

namespace knapweedroad {
namespace {

// Returns six healthy control hosts, one in each of the zones a to f.
std::vector<ControlHostCandidate> SixZoneCandidates() {
  std::vector<ControlHostCandidate> candidates;
  for (int i = 0; i < 6; ++i) {
    const std::string zone(1, static_cast<char>('a' + i));
    candidates.push_back({.host = HostId("control-" + zone),
                          .zone = ZoneId(zone),
                          .is_live = true,
                          .has_full_view = true,
                          .rank = static_cast<uint64_t>(10 - i)});
  }
  return candidates;
}

std::vector<HostId> SelectIn(
    const char* zone,
    const std::vector<ControlHostCandidate>& candidates) {
  return SelectControlHosts(candidates, {.zone = ZoneId(zone)});
}

// Guards against every change being sent to each host from other zones.
Test(control_host_selection, control_host_of_the_own_zone_suffices) {
  const std::vector<HostId> selected = SelectIn("d", SixZoneCandidates());
  cr_expect(selected == std::vector{HostId("control-d")});
}

// Guards against a host that receives no updates while its zone's control host
// is down.
Test(control_host_selection,
     control_host_of_another_zone_suffices_while_the_own_is_down) {
  std::vector<ControlHostCandidate> candidates = SixZoneCandidates();
  candidates[3].is_live = false;
  candidates[3].failed_recently = true;
  const std::vector<HostId> selected = SelectIn("d", candidates);
  cr_expect(selected.size() == 1);
  cr_expect(selected.front() != HostId("control-d"));
}

// Guards against a host that permanently follows another zone's control host.
Test(control_host_selection, control_host_of_the_own_zone_is_retried) {
  std::vector<ControlHostCandidate> candidates = SixZoneCandidates();
  candidates[3].is_live = false;
  const std::vector<HostId> selected = SelectIn("d", candidates);
  cr_expect(selected.size() == 2);
  cr_expect(selected.front() == HostId("control-d"));
}

// Guards against stale information when the control host of the own zone is
// partitioned from other control hosts but not from its entry hosts.
Test(control_host_selection,
     control_host_without_a_full_view_does_not_suffice) {
  std::vector<ControlHostCandidate> candidates = SixZoneCandidates();
  candidates[3].has_full_view = false;
  cr_expect(SelectIn("d", candidates).size() == 2);
  for (ControlHostCandidate& candidate : candidates) {
    candidate.has_full_view = false;
  }
  cr_expect(SelectIn("d", candidates).size() == 3);
}

// Guards against entry hosts that use an old configuration because all control
// hosts they follow are in one minority.
Test(control_host_selection, preferred_minority_does_not_hide_the_majority) {
  std::vector<ControlHostCandidate> candidates = SixZoneCandidates();
  candidates.push_back({.host = HostId("control-g"),
                        .zone = ZoneId("g"),
                        .is_live = true,
                        .rank = 0});
  for (ControlHostCandidate& candidate : candidates) {
    candidate.has_full_view = false;
    candidate.has_quorum = true;
  }
  // The control host of the own zone, and the first two by rank.
  for (const int minority : {3, 6, 5}) {
    candidates[minority].has_quorum = false;
  }
  const std::vector<HostId> selected =
      SelectControlHosts(candidates, {.zone = ZoneId("d"),
                                      .max_selected = 3,
                                      .max_selected_without_quorum = 7});
  cr_expect(selected.size() == 4);
  cr_expect(selected.back() == HostId("control-e"));
}

// Guards against entry hosts that drop the majority again as soon as they find
// it.
Test(control_host_selection, control_host_with_a_quorum_stays_selected) {
  std::vector<ControlHostCandidate> candidates = SixZoneCandidates();
  for (ControlHostCandidate& candidate : candidates) {
    candidate.has_full_view = false;
  }
  // The least preferred candidate.
  candidates[0].has_quorum = true;
  const std::vector<HostId> selected =
      SelectControlHosts(candidates, {.zone = ZoneId("d"),
                                      .max_selected = 3,
                                      .max_selected_without_quorum = 3});
  cr_expect(selected.size() == 4);
  cr_expect(selected.back() == HostId("control-a"));
}

// Guards against hundreds of hosts that follow all control hosts at once while
// there is no quorum anywhere.
Test(control_host_selection, selection_without_any_quorum_is_bounded) {
  std::vector<ControlHostCandidate> candidates = SixZoneCandidates();
  for (ControlHostCandidate& candidate : candidates) {
    candidate.has_full_view = false;
  }
  cr_expect(SelectControlHosts(candidates, {.zone = ZoneId("d"),
                                            .max_selected = 3,
                                            .max_selected_without_quorum = 4})
                .size() == 4);
}

// Guards against a start at which the only selected control host is down.
Test(control_host_selection, several_are_selected_until_one_has_answered) {
  std::vector<ControlHostCandidate> candidates = SixZoneCandidates();
  for (ControlHostCandidate& candidate : candidates) {
    candidate.is_live = false;
    candidate.zone = ZoneId();
  }
  cr_expect(SelectIn("d", candidates).size() == 3);
}

// Guards against a host that loses its proof of freshness because it follows
// only a control host that answers but is partitioned from the others, which
// shows in its view seconds later.
Test(control_host_selection, unconfirmed_control_host_does_not_suffice) {
  std::vector<ControlHostCandidate> candidates = SixZoneCandidates();
  candidates[3].is_unconfirmed = true;
  // The first one of the other zones.
  candidates[5].is_confirmed = true;
  const std::vector<HostId> selected = SelectIn("d", candidates);
  cr_expect(selected ==
            (std::vector{HostId("control-d"), HostId("control-f")}));
}

// Guards against control hosts of one minority that are asked one after the
// other while the proof runs out.
Test(control_host_selection, several_are_selected_until_one_has_confirmed) {
  std::vector<ControlHostCandidate> candidates = SixZoneCandidates();
  candidates[3].is_unconfirmed = true;
  cr_expect(SelectIn("d", candidates).size() == 3);
}

// Guards against hosts whose three followed control hosts are one minority that
// still claims a quorum.
Test(control_host_selection, unconfirmed_minority_does_not_hide_the_majority) {
  std::vector<ControlHostCandidate> candidates = SixZoneCandidates();
  candidates.push_back({.host = HostId("control-g"),
                        .zone = ZoneId("g"),
                        .is_live = true,
                        .rank = 0});
  for (ControlHostCandidate& candidate : candidates) {
    candidate.has_full_view = false;
    candidate.has_quorum = true;
  }
  // The control host of the own zone, and the first two by rank.
  for (const int minority : {3, 6, 5}) {
    candidates[minority].is_unconfirmed = true;
  }
  const std::vector<HostId> selected =
      SelectControlHosts(candidates, {.zone = ZoneId("d"),
                                      .max_selected = 3,
                                      .max_selected_without_quorum = 4});
  cr_expect(selected.size() == 4);
  cr_expect(selected.back() == HostId("control-e"));
}

// Guards against hosts that drop the only control host that confirms again.
Test(control_host_selection, confirmed_control_host_stays_selected) {
  std::vector<ControlHostCandidate> candidates = SixZoneCandidates();
  for (ControlHostCandidate& candidate : candidates) {
    candidate.has_quorum = true;
    candidate.is_unconfirmed = true;
  }
  // The least preferred candidate.
  candidates[0].is_unconfirmed = false;
  candidates[0].is_confirmed = true;
  const std::vector<HostId> selected = SelectIn("d", candidates);
  cr_expect(selected.size() == 4);
  cr_expect(selected.back() == HostId("control-a"));
}

}  // namespace
}  // namespace knapweedroad
