#include <criterion/criterion.h>

#include <map>

#include "knapweedroad/routing/latency_window.h"
#include "knapweedroad/routing/record_merge.h"
#include "knapweedroad/routing/route_table.h"
#include "knapweedroad/routing/weighted_round_robin.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RouteConfig Route(const char* name, const char* host, const char* prefix) {
  return {.name = name,
          .host_name = host,
          .path_prefix = prefix,
          .timeout = seconds(1),
          .services = {{.service = ServiceId("s")}}};
}

RoutingConfig Config(std::vector<RouteConfig> routes) {
  return {.version = 1,
          .routes = std::move(routes),
          .services = {{.name = ServiceId("s")}, {.name = ServiceId("t")}}};
}

Test(route_table, finds_the_longest_path_prefix_of_the_host_name) {
  const RouteTable table(Config(
      {Route("all", "a.example", "/"), Route("x", "a.example", "/x/"),
       Route("xy", "a.example", "/x/y/"), Route("b", "b.example", "/x/")}));
  cr_expect(table.Find("a.example", "/x/y/z")->name == "xy");
  cr_expect(table.Find("A.Example:8080", "/x/1?q=/x/y/")->name == "x");
  cr_expect(table.Find("a.example", "/xy")->name == "all");
  cr_expect(table.Find("b.example", "/y") == nullptr);
  cr_expect(table.Find("c.example", "/x/") == nullptr);
}

Test(check_routing, reports_each_fault_with_its_route) {
  RouteConfig unknown = Route("unknown", "a", "/u/");
  unknown.services = {{.service = ServiceId("nowhere")}};
  RouteConfig weightless = Route("weightless", "a", "/w/");
  weightless.services = {{.service = ServiceId("s"), .weight = 0}};
  RouteConfig timeless = Route("timeless", "a", "/t/");
  timeless.timeout = Duration::zero();
  cr_expect(CheckRouting(Config({Route("r", "a", "/")})).empty());
  for (const RouteConfig& route : {unknown, weightless, timeless}) {
    const auto faults = CheckRouting(Config({route}));
    cr_assert(faults.size() == 1);
    cr_expect(faults[0].find(route.name) != std::string::npos);
  }
  cr_expect(CheckRouting(Config({Route("r", "a", "/"), Route("q", "a", "/")}))
                .size() == 1);
}

Test(weighted_round_robin,
     each_service_gets_requests_in_proportion_to_its_weight) {
  RouteConfig route = Route("r", "a", "/");
  route.services = {{.service = ServiceId("s"), .weight = 3},
                    {.service = ServiceId("t"), .weight = 1},
                    {.service = ServiceId("u"), .weight = 0}};
  WeightedRoundRobin rotation;
  std::map<std::string, int> counts;
  for (int i = 0; i < 400; ++i) {
    ++counts[rotation.Next(route).str()];
  }
  cr_expect(counts["s"] == 300 && counts["t"] == 100 && counts.count("u") == 0);
}

Test(record_merge, keeps_equal_records_and_ignores_incomplete_ones) {
  const std::string low(16, 'a');
  const std::string high(16, 'z');
  const std::string part = low + high + "rest";
  cr_expect(MergeRecords(std::vector<std::string_view>{part, high}, 2) ==
            high + high);
  cr_expect(MergeRecords(std::vector<std::string_view>{part, high}, 9) ==
            high + high + low);
  cr_expect(MergeRecords(std::vector<std::string_view>{}, 9).empty());
}

Test(latency_window, follows_the_quantile_of_recent_values) {
  LatencyWindow window;
  cr_expect(!window.Quantile(0.9).has_value());
  for (int i = 0; i < 2000; ++i) {
    window.Add(milliseconds(i % 100 < 95 ? 10 : 120));
  }
  const Duration usual = *window.Quantile(0.9);
  cr_expect(usual >= milliseconds(10) && usual < milliseconds(12));
  cr_expect(*window.Quantile(0.97) >= milliseconds(110));
  for (int i = 0; i < 3000; ++i) {
    window.Add(milliseconds(40));
  }
  cr_expect(*window.Quantile(0.9) >= milliseconds(36));
}

}  // namespace
}  // namespace knapweedroad
