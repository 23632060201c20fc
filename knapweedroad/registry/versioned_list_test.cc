#include "knapweedroad/registry/versioned_list.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/registry/entry_host_record.h"

namespace knapweedroad {
namespace {

using Source = VersionedList<EntryHostRecord, HostId>;
using Replica = ListReplica<EntryHostRecord, HostId>;

EntryHostRecord Host(const std::string& name, const char* zone = "a") {
  return {.host = HostId(name), .zone = ZoneId(zone)};
}

std::vector<EntryHostRecord> Hosts(size_t count) {
  std::vector<EntryHostRecord> hosts;
  for (size_t i = 0; i < count; ++i) {
    hosts.push_back(Host("h" + std::to_string(i)));
  }
  return hosts;
}

Test(versioned_list, replica_without_a_revision_gets_the_full_list) {
  Source source;
  source.Set(Hosts(3), 5);
  const auto delta = source.DeltaSince(0);
  cr_expect(delta.is_full);
  Replica replicas;
  replicas.Apply({.upserted = {Host("of another process")}});
  replicas.Apply(delta);
  cr_expect(replicas.items() == source.items());
}

Test(versioned_list, replica_of_the_previous_revision_gets_the_changes) {
  Source source;
  source.Set(Hosts(300), 5);
  auto next = Hosts(300);
  next[7].zone = ZoneId("b");
  next.erase(next.begin() + 20);
  next.push_back(Host("new"));
  source.Set(next, 6);
  const auto delta = source.DeltaSince(5);
  cr_expect(!delta.is_full);
  cr_expect(delta.upserted.size() == 2);
  cr_expect(delta.removed == std::vector{HostId("h20")});
  cr_expect(source.DeltaSince(6) == Source::Delta());
}

// Guards against an item that was removed and added again between two calls of
// a replica, and is then missing in the replica.
Test(versioned_list, delta_holds_only_the_last_state_of_an_item) {
  Source source;
  source.Set({Host("x"), Host("y")}, 1);
  source.Set({Host("y")}, 2);
  source.Set({Host("x", "b"), Host("y")}, 3);
  const auto delta = source.DeltaSince(1);
  cr_expect(delta.upserted == std::vector{Host("x", "b")});
  cr_expect(delta.removed.empty());
}

// Guards against applying changes to a list of another process, whose revisions
// are unrelated.
Test(versioned_list, unknown_revision_gets_the_full_list) {
  Source source;
  source.Set(Hosts(3), 5);
  cr_expect(source.DeltaSince(9).is_full);
}

// Of hundreds of hosts, some join and leave all the time, and replicas lag by
// any number of changes.
Test(versioned_list, lagging_replicas_converge_to_the_same_list) {
  std::mt19937 random(1);
  Source source;
  std::vector<Replica> replicas(5);
  std::vector<uint64_t> revisions(replicas.size(), 0);
  for (uint64_t revision = 1; revision <= 3000; ++revision) {
    auto hosts = Hosts(40);
    hosts.resize(20 + random() % 20);
    for (int i = 0; i < 3; ++i) {
      hosts[random() % hosts.size()].zone = ZoneId(random() % 2 ? "b" : "c");
    }
    source.Set(hosts, revision);
    for (size_t i = 0; i < replicas.size(); ++i) {
      if (random() % (1U << (2 * i)) == 0) {
        replicas[i].Apply(source.DeltaSince(revisions[i]));
        revisions[i] = revision;
        cr_assert(replicas[i].items() == source.items());
      }
    }
  }
}

}  // namespace
}  // namespace knapweedroad
