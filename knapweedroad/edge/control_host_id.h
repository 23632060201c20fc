#ifndef KNAPWEEDROAD_EDGE_CONTROL_HOST_ID_H_
#define KNAPWEEDROAD_EDGE_CONTROL_HOST_ID_H_

#include "knapweedroad/base/id.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

// Ids of control hosts are their peer addresses, as "IP:PORT".
HostId ControlHostId(const Endpoint& peer_address);

// The endpoint that the id stands for; port 0 where it is none.
Endpoint EndpointOf(const HostId& control_host);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_CONTROL_HOST_ID_H_
