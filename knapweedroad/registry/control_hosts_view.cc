#include "knapweedroad/registry/control_hosts_view.h"

namespace knapweedroad {

int64_t QuorumAgeMs(const ControlHostsView& view) {
  return view.quorum_age
             ? std::chrono::floor<std::chrono::milliseconds>(*view.quorum_age)
                   .count()
             : -1;
}

}  // namespace knapweedroad
