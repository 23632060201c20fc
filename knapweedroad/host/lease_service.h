// Runs the leases of this host's zone over datagrams, and hands each target's
// admission what the lease allows.
//
//   LeaseService leases(runtime, {.settings = settings, .links = links, ...});
//   leases.Start();
//   ...
//   leases.Leave();   // blocks until everything is handed over

#ifndef KNAPWEEDROAD_HOST_LEASE_SERVICE_H_
#define KNAPWEEDROAD_HOST_LEASE_SERVICE_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "knapweedroad/admission/zone_leases.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/target/held_target.h"

namespace knapweedroad {

class HostView;
class PeerLinks;
class Runtime;
class TargetTable;

struct LeaseServiceOptions {
  const HostSettings& settings;
  uint64_t incarnation = 0;
  PeerLinks& links;
  TargetTable& targets;
  HostView& view;
};

class LeaseService {
 public:
  LeaseService(Runtime& runtime, LeaseServiceOptions options);

  // Takes its datagrams and begins to ask for leases. Before the links start.
  void Start();

  // Hands over all that is held; blocks the calling fiber until that is done
  // or `deadline`.
  void Leave(TimePoint deadline);

  // Whether this host can be granted leases now.
  bool CanHold(TimePoint now) const;

  // For heartbeats.
  std::vector<HeldTarget> Held(TimePoint now) const;

 private:
  void Loop();
  void Hear(std::string_view body);
  void Tick(TimePoint now);
  void Perform(const ZoneLeases::Actions& actions);

  Runtime& runtime;
  LeaseServiceOptions options;
  ZoneLeases leases;
  bool is_leaving = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_LEASE_SERVICE_H_
