#include "knapweedroad/registry/told_list.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/registry/entry_host_record.h"

namespace knapweedroad {
namespace {

using Told = ToldList<EntryHostRecord, HostId>;
using Heard = HeardList<EntryHostRecord, HostId>;

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

Test(told_list, a_host_that_has_nothing_hears_all) {
  Told told;
  told.Set(Hosts(3), 5);
  const auto news = told.Since(0);
  cr_expect(news.is_whole);
  Heard heard;
  heard.Take({.put = {Host("of another process")}});
  heard.Take(news);
  cr_expect(heard.items() == told.items());
}

Test(told_list, a_host_that_has_the_list_before_hears_what_has_changed) {
  Told told;
  told.Set(Hosts(300), 5);
  auto next = Hosts(300);
  next[7].zone = ZoneId("b");
  next.erase(next.begin() + 20);
  next.push_back(Host("new"));
  told.Set(next, 6);
  const auto news = told.Since(5);
  cr_expect(!news.is_whole);
  cr_expect(news.put.size() == 2);
  cr_expect(news.gone == std::vector{HostId("h20")});
  cr_expect(told.Since(6) == Told::News());
}

// Guards against an item that left and came back between two calls of a host,
// and is taken away there.
Test(told_list, of_each_item_only_the_last_state_is_told) {
  Told told;
  told.Set({Host("x"), Host("y")}, 1);
  told.Set({Host("y")}, 2);
  told.Set({Host("x", "b"), Host("y")}, 3);
  const auto news = told.Since(1);
  cr_expect(news.put == std::vector{Host("x", "b")});
  cr_expect(news.gone.empty());
}

// Guards against changes to a list of another process, which counts anew.
Test(told_list, a_revision_that_is_not_known_gets_all) {
  Told told;
  told.Set(Hosts(3), 5);
  cr_expect(told.Since(9).is_whole);
}

// The pattern: hundreds of hosts of which some come and go all the time, and
// followers that lag by any number of changes.
Test(told_list, followers_that_lag_end_with_the_same_list) {
  std::mt19937 random(1);
  Told told;
  std::vector<Heard> heard(5);
  std::vector<uint64_t> revisions(heard.size(), 0);
  for (uint64_t revision = 1; revision <= 3000; ++revision) {
    auto hosts = Hosts(40);
    hosts.resize(20 + random() % 20);
    for (int i = 0; i < 3; ++i) {
      hosts[random() % hosts.size()].zone = ZoneId(random() % 2 ? "b" : "c");
    }
    told.Set(hosts, revision);
    for (size_t i = 0; i < heard.size(); ++i) {
      if (random() % (1U << (2 * i)) == 0) {
        heard[i].Take(told.Since(revisions[i]));
        revisions[i] = revision;
        cr_assert(heard[i].items() == told.items());
      }
    }
  }
}

}  // namespace
}  // namespace knapweedroad
