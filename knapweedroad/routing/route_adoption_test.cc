#include "knapweedroad/routing/route_adoption.h"

#include <criterion/criterion.h>

#include <set>

#include "knapweedroad/routing/route_table.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(1000)};

std::shared_ptr<const RouteTable> Table(
    uint64_t version,
    const std::vector<const char*>& shards) {
  RouteConfig route{.name = "r",
                    .host_name = "h",
                    .path_prefix = "/",
                    .is_scatter = true,
                    .min_share = 0.6};
  for (const char* shard : shards) {
    route.services.push_back({.service = ServiceId(shard)});
  }
  return std::make_shared<RouteTable>(
      RoutingConfig{.version = version, .routes = {route}});
}

class ServedServices {
 public:
  explicit ServedServices(std::set<std::string> names)
      : names(std::move(names)) {}
  bool operator()(const ServiceId& service) const {
    return this->names.contains(service.str());
  }

 private:
  std::set<std::string> names;
};

// Guards against refused requests when an index is resharded and the version
// with the new shards arrives a second before their targets are warm.
Test(route_adoption, waits_until_the_new_shards_can_answer) {
  RouteAdoption adoption({});
  adoption.Offer(Table(1, {"a", "b", "c"}), kStart);
  const ServedServices before({"a", "b", "c"});
  cr_assert(adoption.Adopt(before, kStart) != nullptr);
  adoption.Offer(Table(2, {"x", "y", "z"}), kStart);
  cr_expect(adoption.Adopt(before, kStart + milliseconds(300)) == nullptr);
  const ServedServices after({"a", "b", "c", "x", "y"});
  const auto next = adoption.Adopt(after, kStart + milliseconds(400));
  cr_assert(next != nullptr && next->version() == 2);
}

// Guards against a version that never takes effect because the new shards'
// targets never start.
Test(route_adoption, holds_a_version_back_for_a_limited_time) {
  RouteAdoption adoption({.max_hold = milliseconds(1200)});
  const ServedServices before({"a", "b", "c"});
  adoption.Offer(Table(1, {"a", "b", "c"}), kStart);
  adoption.Adopt(before, kStart);
  adoption.Offer(Table(2, {"x", "y", "z"}), kStart);
  adoption.Offer(Table(3, {"x", "y", "z"}), kStart + milliseconds(1100));
  cr_expect(adoption.Adopt(before, kStart + milliseconds(1150)) == nullptr);
  const auto next = adoption.Adopt(before, kStart + milliseconds(1200));
  cr_assert(next != nullptr && next->version() == 3);
}

// Guards against a useless delay when the targets of the old shards are gone
// too.
Test(route_adoption, does_not_wait_where_the_old_route_is_not_served) {
  RouteAdoption adoption({});
  adoption.Offer(Table(1, {"a", "b", "c"}), kStart);
  adoption.Adopt(ServedServices({}), kStart);
  adoption.Offer(Table(2, {"x", "y", "z"}), kStart);
  cr_expect(adoption.Adopt(ServedServices({"a"}), kStart) != nullptr);
}

}  // namespace
}  // namespace knapweedroad
