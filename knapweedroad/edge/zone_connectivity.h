// Whether a control host reaches other zones, and all other control hosts.
//
//   ZoneConnectivity connectivity(own_zone);
//   if (connectivity.Update(live, view)) { tell the followers }

#ifndef KNAPWEEDROAD_EDGE_ZONE_CONNECTIVITY_H_
#define KNAPWEEDROAD_EDGE_ZONE_CONNECTIVITY_H_

#include <span>
#include <utility>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

struct ControlHostRecord;
struct ControlHostsView;

class ZoneConnectivity {
 public:
  explicit ZoneConnectivity(ZoneId own) : own(std::move(own)) {}

  // `live`: the control hosts that are heard. True: one of the answers below
  // has changed, and the log has a line on it.
  bool Update(std::span<const ControlHostRecord> live,
              const ControlHostsView& view);

  // Control hosts of other zones were reached before, and none is now.
  bool is_cut_off() const { return this->cut_off; }
  bool hears_all() const { return this->all_heard; }

 private:
  ZoneId own;
  bool has_reached_others = false;
  bool cut_off = false;
  bool all_heard = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ZONE_CONNECTIVITY_H_
