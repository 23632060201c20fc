// The control hosts that one host knows: which answer it, and whether any is
// missed.
//
//   ControlHostTable table({.started = now});
//   table.OnReply(host, reply, now);
//   std::vector<ControlHostRecord> live = table.Live(now);

#ifndef KNAPWEEDROAD_REGISTRY_CONTROL_HOST_TABLE_H_
#define KNAPWEEDROAD_REGISTRY_CONTROL_HOST_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct ControlHostRecord;
struct ControlHostCandidate;
struct WatchReply;

struct ControlHostTableOptions {
  // Left out of all lists.
  HostId self;
  TimePoint started;
};

class ControlHostTable {
 public:
  explicit ControlHostTable(ControlHostTableOptions options);

  // The host has answered a call. True: it was not live before.
  bool OnReply(const HostId& host, const WatchReply& reply, TimePoint now);
  // A call to it has failed. True: it was live before.
  bool OnFailure(const HostId& host, TimePoint now);
  // Another host has named it, or it has called this one.
  void OnMentioned(const HostId& host, const ZoneId& zone, TimePoint now);
  void OnCall(const HostId& host, TimePoint now);
  // A quorum of the replicas has answered a question asked at this time.
  void OnQuorum(TimePoint query_sent) { this->last_quorum_query = query_sent; }

  // Forgets hosts that have long been neither heard nor named.
  void Forget(TimePoint now);

  // Those that have answered lately.
  std::vector<ControlHostRecord> Live(TimePoint now) const;
  // Those that are known and not live, as a log line names them.
  std::string DescribeUnreachable(TimePoint now) const;
  // All that are known.
  std::vector<HostId> Hosts() const;
  ZoneId ZoneOf(const HostId& host) const;
  // Whether a host of the zone answered its last call.
  bool HasResponsiveHost(const ZoneId& zone) const;
  bool IsResponsive(const HostId& host) const;
  // `host` as a host to follow, but for its rank.
  ControlHostCandidate Candidate(const HostId& host, TimePoint now) const;

  // Whether news from this host is whole: a quorum answers it, and so does
  // every control host that anybody has heard lately.
  bool HasFullView(TimePoint now) const;
  // Whether a quorum has answered lately.
  bool HasQuorum(TimePoint now) const;
  // Since the last question that a quorum has answered; nothing: never.
  std::optional<Duration> QuorumAge(TimePoint now) const;

 private:
  struct HostState {
    TimePoint last_seen;
    TimePoint last_failure;
    bool is_responsive = false;
    bool has_full_view = false;
    bool has_quorum = false;
    // Empty: not heard yet.
    ZoneId zone;

    bool IsLive(TimePoint now) const;
  };

  ControlHostTableOptions options;
  std::map<HostId, HostState> hosts;
  std::optional<TimePoint> last_quorum_query;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_CONTROL_HOST_TABLE_H_
