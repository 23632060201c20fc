#include "knapweedroad/routing/coordinator_choice.h"

#include <criterion/criterion.h>

#include <map>
#include <set>
#include <string>

namespace knapweedroad {
namespace {

const ZoneId kZone("a");

std::vector<EntryHostRecord> Hosts(size_t count) {
  std::vector<EntryHostRecord> hosts;
  for (size_t i = 0; i < count; ++i) {
    hosts.push_back({.host = HostId("host-" + std::to_string(i)),
                     .zone = kZone,
                     .peer_address = {"10.0.0.1", 7740}});
  }
  return hosts;
}

std::set<HostId> Names(std::span<const EntryHostRecord> hosts) {
  std::set<HostId> names;
  for (const EntryHostRecord& host : hosts) {
    names.insert(host.host);
  }
  return names;
}

// Guards against load or connections of a coordinator that grow with the number
// of entry hosts: the slices a host gathers, and the hosts that call it, must
// not.
Test(coordinator_choice,
     the_load_of_a_coordinator_does_not_grow_with_the_zone) {
  constexpr size_t kShards = 90;
  for (const size_t host_count : {100, 300, 1000, 2000}) {
    CoordinatorChoice choice({});
    choice.SetHosts(Hosts(host_count));
    const size_t slices = choice.SliceCount(kShards);
    std::map<HostId, size_t> slices_of_host;
    for (size_t slice = 0; slice < slices; ++slice) {
      const auto coordinators = choice.HostsOf(kZone, slice, slices);
      cr_assert_geq(coordinators.size(), 3);
      // The hosts of the zone for each replica of the slice.
      cr_expect_leq(host_count / coordinators.size(), 100, "%zu hosts",
                    host_count);
      for (const EntryHostRecord& host : coordinators) {
        ++slices_of_host[host.host];
      }
    }
    for (const auto& [host, count] : slices_of_host) {
      cr_expect_leq(count, 4, "%zu hosts", host_count);
    }
  }
}

// Guards against hosts that all call the same coordinator of a slice.
Test(coordinator_choice, the_hosts_are_divided_among_the_coordinators) {
  constexpr size_t kCount = 3;
  std::map<size_t, size_t> hosts_of;
  for (const EntryHostRecord& host : Hosts(300)) {
    const CoordinatorChoice choice({.self = host.host});
    ++hosts_of[choice.PreferredIndex(0, kCount)];
  }
  for (size_t i = 0; i < kCount; ++i) {
    cr_expect(hosts_of[i] > 70 && hosts_of[i] < 130, "%zu", hosts_of[i]);
  }
}

// Guards against a lost host after which all coordinators change, and all
// connections to targets are opened anew.
Test(coordinator_choice, a_lost_host_changes_only_its_own_slices) {
  std::vector<EntryHostRecord> hosts = Hosts(150);
  CoordinatorChoice before({});
  before.SetHosts(hosts);
  const size_t slices = before.SliceCount(90);
  const HostId lost = before.HostsOf(kZone, 0, slices).front().host;
  std::erase_if(hosts, [&](const auto& host) { return host.host == lost; });
  CoordinatorChoice after({});
  after.SetHosts(hosts);
  for (size_t slice = 0; slice < slices; ++slice) {
    std::set<HostId> kept = Names(before.HostsOf(kZone, slice, slices));
    kept.erase(lost);
    const std::set<HostId> now = Names(after.HostsOf(kZone, slice, slices));
    for (const HostId& host : kept) {
      cr_expect(now.contains(host), "slice %zu", slice);
    }
  }
}

// Guards against small zones in which most hosts would call each other for
// nothing.
Test(coordinator_choice, a_small_zone_has_no_coordinators) {
  CoordinatorChoice choice({});
  choice.SetHosts(Hosts(5));
  cr_expect(choice.HostsOf(kZone, 0, 1).empty());
  cr_expect(choice.Zones(1).empty());
  choice.SetHosts(Hosts(6));
  cr_expect(choice.HostsOf(kZone, 0, 1).size() == 3);
  cr_expect(choice.Zones(1) == std::vector{kZone});
  cr_expect(choice.HostsOf(ZoneId("b"), 0, 1).empty());
}

}  // namespace
}  // namespace knapweedroad
