// Which routing configuration an entry host goes by: takes what control hosts
// have agreed on, and puts it in force when its targets are there.
//
//   RoutingInForce routing({.read = ReadRouting, ...});
//   routing.OnAgreed(version, text, now);
//   routing.Adopt(now);   // ten times a second

#ifndef KNAPWEEDROAD_EDGE_ROUTING_IN_FORCE_H_
#define KNAPWEEDROAD_EDGE_ROUTING_IN_FORCE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/routing/route_adoption.h"

namespace knapweedroad {

class RouteTable;
struct RolloutRecord;
struct RoutingConfig;

struct RoutingInForceOptions {
  // Reads the text of a routing configuration; the error says what is wrong.
  std::function<tl::expected<RoutingConfig, std::string>(std::string_view)>
      read;
  RouteAdoption::IsServed is_served;
  // Zones whose targets get nothing; in force at once.
  std::function<void(const std::vector<ZoneId>& zones)> on_zones_out;
  // The roll-outs of new versions; in force at once.
  std::function<void(const std::vector<RolloutRecord>& rollouts)> on_rollouts;
  std::function<void(const std::shared_ptr<const RouteTable>& table)>
      on_in_force;
};

class RoutingInForce {
 public:
  explicit RoutingInForce(RoutingInForceOptions options);

  // An older version, or bytes that can't be read, change nothing.
  void OnAgreed(uint64_t version, const std::string& text, TimePoint now);

  // Puts an offered configuration in force, if it is time.
  void Adopt(TimePoint now);

  // The newest version seen; zero: none yet.
  uint64_t agreed_version() const { return this->version; }

  // The newest version whose configuration could be read, although it may not
  // be in force yet; zero if there is none.
  uint64_t applied_version() const { return this->last_applied_version; }
  // The table of the newest configuration that could be read; null if there is
  // none.
  const std::shared_ptr<const RouteTable>& newest_table() const {
    return this->newest;
  }

 private:
  RoutingInForceOptions options;
  RouteAdoption adoption{{}};
  uint64_t version = 0;
  uint64_t last_applied_version = 0;
  std::shared_ptr<const RouteTable> newest;
  // As it was put, of the last configuration that could be read.
  std::string routing_text;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ROUTING_IN_FORCE_H_
