#include "knapweedroad/edge/control_host_id.h"

#include <charconv>
#include <string>

namespace knapweedroad {

Endpoint EndpointOf(const HostId& control_host) {
  const std::string& text = control_host.str();
  const size_t colon = text.rfind(':');
  Endpoint endpoint;
  if (colon != std::string::npos) {
    endpoint.ip = text.substr(0, colon);
    std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                    endpoint.port);
  }
  return endpoint;
}

HostId ControlHostId(const Endpoint& peer_address) {
  return HostId(peer_address.ip + ":" + std::to_string(peer_address.port));
}

}  // namespace knapweedroad
