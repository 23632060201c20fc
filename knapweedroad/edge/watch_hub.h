// Answers the calls of hosts that follow this control host: at once when there
// is news for them, else after a while.
//
//   WatchHub hub(runtime, {.registry = registry, ...});
//   std::string reply = hub.Answer(call);   // blocks the fiber
//   hub.Wake();                            // something has changed

#ifndef KNAPWEEDROAD_EDGE_WATCH_HUB_H_
#define KNAPWEEDROAD_EDGE_WATCH_HUB_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/registry/watch_messages.h"

namespace knapweedroad {

class OutlierDetector;
class Runtime;
class TargetRegistry;

struct WatchHubOptions {
  HostId self;
  ZoneId zone;
  TargetRegistry& registry;
  OutlierDetector& detector;
  std::function<uint64_t()> agreed_version;
  // Control hosts that this one knows.
  std::function<std::vector<ControlHostRecord>()> control_hosts;
  // Whether the control hosts of all other zones are lost.
  std::function<bool()> is_cut_off;
  // Whether this control host hears all others.
  std::function<bool()> hears_all;
  // Whether a quorum of the replicas answers it.
  std::function<bool()> has_quorum;
  // Outcomes that came with a call.
  std::function<void(const OutcomeReport&)> on_outcomes;
  // A control host follows this one: it may not have been known.
  std::function<void(const HostId&)> on_control_follower;
};

class WatchHub {
 public:
  WatchHub(Runtime& runtime, WatchHubOptions options);
  ~WatchHub();

  // A packed WatchReply.
  std::string Answer(const WatchCall& call);
  void Wake();
  // Ends the calls that wait, with an empty reply.
  void Stop();

  // Another control host's own entry hosts.
  void LearnEntryHosts(const HostId& control_host,
                       std::vector<EntryHostRecord> entry_hosts);
  // Entry hosts of before a restart: taken as if they had just called.
  void RememberEntryHosts(const std::vector<EntryHostRecord>& entry_hosts);

  // All entry hosts heard of, here or by other control hosts.
  std::vector<EntryHostRecord> EntryHosts() const;
  // Rises with each change of the lists of hosts.
  uint64_t hosts_revision() const;

  // Forgets hosts that haven't called lately, and wakes followers if the lists
  // have changed.
  void Sweep();

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_WATCH_HUB_H_
