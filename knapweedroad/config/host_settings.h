// What one process of the system needs to start, from its settings file.

#ifndef KNAPWEEDROAD_CONFIG_HOST_SETTINGS_H_
#define KNAPWEEDROAD_CONFIG_HOST_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"

namespace knapweedroad {

// An IP number and port.
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// Another host (or this one) as every host knows it.
struct PeerSettings {
  HostId name;
  ZoneId zone;
  Endpoint peer_address;
  // Whether it is one of the first control replicas. Only read while no
  // membership has been agreed.
  bool control_replica = false;

  friend bool operator==(const PeerSettings&, const PeerSettings&) = default;
};

struct HostSettings {
  HostId name;
  ZoneId zone;
  Endpoint caller_address;
  Endpoint target_address;
  Endpoint operator_address;
  Endpoint peer_address;
  // Where the state of a control replica lives; required of those only.
  std::optional<std::string> data_folder;
  // All hosts of the deployment, this one included.
  std::vector<PeerSettings> hosts;
  // A configuration file to serve with while none has been agreed.
  std::optional<std::string> initial_configuration;

  friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_HOST_SETTINGS_H_
