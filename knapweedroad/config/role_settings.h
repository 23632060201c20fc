// What an entry host or a control host needs to start where hosts aren't
// listed: itself, a few control hosts to ask, and the bounds it works in.

#ifndef KNAPWEEDROAD_CONFIG_ROLE_SETTINGS_H_
#define KNAPWEEDROAD_CONFIG_ROLE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

struct RoleSettings {
  HostId name;
  ZoneId zone;
  // Where this host listens; absent in a role that doesn't serve it.
  std::optional<Endpoint> caller_address;
  std::optional<Endpoint> ready_address;
  std::optional<Endpoint> control_address;
  // Between hosts of the system; the same port on every host.
  Endpoint peer_address;
  // Where metrics are served, at the IP number of `peer_address`; 0: nowhere.
  uint16_t metrics_port = 0;
  // Control addresses of some control hosts, any of which may be down.
  std::vector<Endpoint> control_seeds;
  // The whole system starts for the first time: control may form its first
  // membership out of blank replicas.
  bool first_start = false;
  // Where a control host keeps its vote.
  std::optional<std::string> data_folder;

  // How often targets announce themselves.
  Duration heartbeat_interval = std::chrono::milliseconds(1200);
  // From a termination signal to the kill that follows it.
  Duration stop_grace = std::chrono::seconds(6);
  // How long after a replacement of a control host has started, or a control
  // host is back, the control hosts bear the loss of one more.
  Duration catch_up = std::chrono::seconds(4);
  // Extra attempts over requests to a service in a window, of all hosts.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  Duration retry_window = std::chrono::seconds(10);
  // What a cold target gets in a second from all hosts: its cold rate times
  // the factor, and the slack.
  double cold_burst_factor = 1.5;
  double cold_slack = 5;
  // What a new version's targets get between the order of its roll-out and the
  // deadline, of all hosts: a share of the requests to the service, and the
  // slack.
  double exposure_share = 0.1;
  double exposure_slack = 50;
  // Whether requests with a key are served only while the configuration is
  // proven to be recent, and how long after the acknowledgement of a
  // configuration a key that it removed may still be used.
  bool strict_revocation = false;
  Duration revocation_bound = std::chrono::seconds(5);
  // Of a client account's quota in any window of this length, over all hosts:
  // the share by which it may be exceeded, and requests beyond that.
  Duration quota_window = std::chrono::seconds(5);
  double quota_overshoot = 0.1;
  double quota_slack = 20;
  // Within this an operator's order that comes again is the same one resent.
  Duration order_resend_window = std::chrono::seconds(10);

  friend bool operator==(const RoleSettings&, const RoleSettings&) = default;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_ROLE_SETTINGS_H_
