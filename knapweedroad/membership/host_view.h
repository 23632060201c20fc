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

// The state of one host, as the `status` command shows it.
struct HostStatus {
  HostId host;
  ZoneId zone;
  // Whether the host counts as alive; see `HostView`.
  bool alive = false;
  // The values that the host last reported.
  bool leaving = false;
  bool can_hold_leases = false;
  uint64_t incarnation = 0;
  // The version in force on the host; zero until its first heartbeat arrives.
  uint64_t configuration_version = 0;
  // The time since the last message from the host; Duration::max() if none has
  // arrived.
  Duration silent_for = Duration::max();
};

// Tracks which hosts are alive, as seen by this host, and the state that each
// of them last sent.
//
//   HostView view({.self = name, .hosts = settings.hosts});
//   if (view.OnHeartbeat(heartbeat, now)) holders.OnHeartbeat(heartbeat, now);
//   leases.SetEligibleHosts(view.LeaseCandidates(zone, now), now);
//
// A host counts as dead when no message from it has arrived over any channel
// for `suspect_after`. An open connection is no evidence that a host is alive,
// and an idle connection is no evidence against it while messages arrive over
// another one.
class HostView {
 public:
  struct Options {
    // The name of this host.
    HostId self;
    // All hosts of the settings; read only by the constructor.
    std::span<const PeerSettings> hosts;
    // A host counts as dead after no message for this long: the time of five
    // heartbeats, one each 200 ms.
    Duration suspect_after = std::chrono::seconds(1);
    // A host whose clock was set back restarts with an older incarnation. Its
    // heartbeats are accepted once no message has arrived from it for longer
    // than this.
    Duration incarnation_reset_after = std::chrono::seconds(10);
  };

  explicit HostView(const Options& options);

  // Records a heartbeat. Returns false if it is not newer than the last one of
  // its host, or if the host is not another host of the settings. The caller
  // must then ignore the whole heartbeat.
  bool OnHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  // Records that a message other than a heartbeat, or a response, arrived from
  // `host` over any channel.
  void OnMessage(const HostId& host, TimePoint now);

  // Records that `host` has announced its shutdown. It counts as dead until a
  // heartbeat with another incarnation is accepted. Ignored if `incarnation` is
  // older than the one recorded.
  void OnShutdown(const HostId& host, uint64_t incarnation);

  // Returns whether `host` counts as alive. This host itself always does; a
  // host that is not in the settings never does.
  bool IsAlive(const HostId& host, TimePoint now) const;

  // Returns the zone's hosts that can hold leases: those that are alive, not
  // leaving, and in contact with a majority of their electorate. This host is
  // never included; the caller adds it if it can hold leases.
  std::vector<HostId> LeaseCandidates(const ZoneId& zone, TimePoint now) const;

  // Returns the state of all hosts of the settings except this one, ordered by
  // name.
  std::vector<HostStatus> Statuses(TimePoint now) const;

  // Returns the number of hosts, without this one, that last reported
  // `configuration_version` or a later one as in force. Dead hosts are
  // included.
  uint32_t CountHostsWithVersion(uint64_t configuration_version) const;

 private:
  struct Entry {
    HostStatus status;
    uint64_t sequence = 0;
    bool message_received = false;
    bool shut_down = false;
    TimePoint last_received_at{};
  };

  bool IsAlive(const Entry& entry, TimePoint now) const;

  Options options;
  std::map<HostId, Entry> entries;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_MEMBERSHIP_HOST_VIEW_H_
