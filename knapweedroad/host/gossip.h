// Heartbeats between hosts: who is alive, what each holds, and what targets
// said.
//
//   Gossip gossip(runtime, {.settings = settings, .links = links, ...});
//   gossip.Start();
//
// Over UDP several times a second. A host that isn't heard that way is also
// called over TCP: what lies between may lose one of the two for good.

#ifndef KNAPWEEDROAD_HOST_GOSSIP_H_
#define KNAPWEEDROAD_HOST_GOSSIP_H_

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/membership/heartbeat.h"
#include "knapweedroad/target/target_report.h"

namespace knapweedroad {

class HolderDirectory;
class HostView;
class PeerLinks;
class Runtime;
class TargetDirectory;

struct GossipOptions {
  const HostSettings& settings;
  uint64_t incarnation = 0;
  PeerLinks& links;
  HostView& view;
  HolderDirectory& holders;
  TargetDirectory& directory;
  // Fills in what the host says of itself: version, leases, leaving.
  std::function<void(Heartbeat&)> fill;
  // A target's newer report has come from another host.
  std::function<void(const TargetReport&)> on_report;
  // What another host has in force.
  std::function<void(const HostId&, uint64_t version)> on_version;
};

class Gossip {
 public:
  Gossip(Runtime& runtime, GossipOptions options);

  // Takes its messages and begins to send. Before the links start.
  void Start();

  // Sends a heartbeat now: a target is leaving or has fallen cold.
  void SendNow();

 private:
  void Loop();
  void CallSilentHosts(const std::string& bytes);
  void Hear(std::string_view body);

  Runtime& runtime;
  GossipOptions options;
  uint64_t sequence = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_GOSSIP_H_
