// Which hosts are alive, as one host sees it, and what they last said.
//
//   HostView view({.self = name, .hosts = settings.hosts});
//   if (view.OnHeartbeat(heartbeat, now)) holders.OnHeartbeat(heartbeat, now);
//   leases.SetEligibleHosts(view.LeaseCandidates(zone, now), now);
//
// A host is suspected when nothing was heard of it for a while, over whatever
// channel. That a connection is open says nothing, nor does the silence of one
// while another one speaks.

#ifndef KNAPWEEDROAD_MEMBERSHIP_HOST_VIEW_H_
#define KNAPWEEDROAD_MEMBERSHIP_HOST_VIEW_H_

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/membership/heartbeat.h"

namespace knapweedroad {

struct PeerSettings;

// One host as `status` shows it.
struct HostStatus {
  HostId host;
  ZoneId zone;
  bool alive = false;
  bool leaving = false;
  bool can_hold_leases = false;
  uint64_t incarnation = 0;
  // Zero until it was heard.
  uint64_t configuration_version = 0;
  // Since it was last heard; Duration::max() for never.
  Duration silent_for = Duration::max();
};

class HostView {
 public:
  struct Options {
    HostId self;
    std::span<const PeerSettings> hosts;
    // Five heartbeats of 200 ms in a row may be lost.
    Duration suspect_after = std::chrono::seconds(1);
    // A host that comes back with an older incarnation than its last one (its
    // clock was set back) is believed again after so much silence.
    Duration incarnation_reset_after = std::chrono::seconds(10);
  };

  explicit HostView(const Options& options);

  // False for one that is no newer than the last of its host, or of a host
  // that isn't in the settings: nothing in it may be used.
  bool OnHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  // Any other message or answer of that host came in, by any channel.
  void OnMessage(const HostId& host, TimePoint now);

  // It stops; it counts as gone until a heartbeat of a later incarnation.
  void OnShutdown(const HostId& host, uint64_t incarnation);

  // This host itself is always alive.
  bool IsAlive(const HostId& host, TimePoint now) const;

  // The zone's hosts that can hold leases: alive, not leaving, in touch with
  // their electorate. This host is not among them; add it where it can.
  std::vector<HostId> LeaseCandidates(const ZoneId& zone, TimePoint now) const;

  // All hosts of the settings, in order of name.
  std::vector<HostStatus> Statuses(TimePoint now) const;

  // How many hosts, without this one, are known to have at least that version
  // in force.
  uint32_t CountHostsWithVersion(uint64_t configuration_version) const;

 private:
  struct Entry {
    HostStatus status;
    uint64_t sequence = 0;
    bool received = false;
    bool shut_down = false;
    TimePoint last_received_at{};
  };

  bool IsAlive(const Entry& entry, TimePoint now) const;

  Options options;
  std::map<HostId, Entry> entries;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_MEMBERSHIP_HOST_VIEW_H_
