// Control messages over the links between hosts.
//
//   ServeControl(links, replica);                  // before links.Start()
//   ControlService control(runtime, {.self = settings.name,
//                                    .first_hosts = FirstReplicas(settings),
//                                    .replica = replica,
//                                    .call = ControlCallOver(links)});

#ifndef KNAPWEEDROAD_HOST_CONTROL_LINKS_H_
#define KNAPWEEDROAD_HOST_CONTROL_LINKS_H_

#include <memory>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/host/control_service.h"

namespace knapweedroad {

class ControlReplica;
class PeerLinks;

// Answers other hosts' control messages with this host's replica; null: with
// an error that says there is none.
void ServeControl(PeerLinks& links, std::shared_ptr<ControlReplica> replica);

// `links` outlives the hook.
ControlCall ControlCallOver(PeerLinks& links);

// The hosts that the settings name as first replicas, in their order.
std::vector<HostId> FirstReplicas(const HostSettings& settings);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_CONTROL_LINKS_H_
