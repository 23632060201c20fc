// Tracks the control hosts that a host has discovered: which of them respond,
// and whether any is missing.
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
  // The id of this host, which OnMentioned() ignores.
  HostId self;
  TimePoint started;
};

class ControlHostTable {
 public:
  explicit ControlHostTable(ControlHostTableOptions options);

  // Records a successful call. Returns true if the host was not responsive
  // before.
  bool OnReply(const HostId& host, const WatchReply& reply, TimePoint now);
  // Records a failed call. Returns true if the host was responsive before.
  bool OnFailure(const HostId& host, TimePoint now);
  // Records that another host lists `host` as live (OnMentioned), or that
  // `host` called this one (OnCall).
  void OnMentioned(const HostId& host, const ZoneId& zone, TimePoint now);
  void OnCall(const HostId& host, TimePoint now);
  // Records whether `host` confirmed with a quorum which version is the newest.
  // A failure counts until the host confirms, a success for a short time. No
  // effect on unknown hosts.
  void OnConfirmation(const HostId& host, bool is_confirmed, TimePoint now);
  // Records that a quorum of the replicas answered a query sent at this time.
  void OnQuorum(TimePoint query_sent) { this->last_quorum_query = query_sent; }

  // Removes hosts that have neither responded nor been mentioned for a long
  // time.
  void Forget(TimePoint now);

  // Returns the hosts that responded recently.
  std::vector<ControlHostRecord> Live(TimePoint now) const;
  // Returns the ids of the hosts in the table that Live() leaves out, separated
  // by spaces, for a log line.
  std::string DescribeUnreachable(TimePoint now) const;
  // Returns all hosts in the table.
  std::vector<HostId> Hosts() const;
  ZoneId ZoneOf(const HostId& host) const;
  // Whether the last call to any host of the zone succeeded.
  bool HasResponsiveHost(const ZoneId& zone) const;
  bool IsResponsive(const HostId& host) const;
  // Returns `host` as a candidate for SelectControlHosts(), without its rank.
  ControlHostCandidate Candidate(const HostId& host, TimePoint now) const;

  // Whether this host has complete information: a quorum answered recently, and
  // every control host that any host saw recently responds to this one.
  bool HasFullView(TimePoint now) const;
  // Whether a quorum answered recently.
  bool HasQuorum(TimePoint now) const;
  // The time since the last query that a quorum answered. Empty if there was
  // none.
  std::optional<Duration> QuorumAge(TimePoint now) const;

 private:
  struct HostState {
    TimePoint last_seen;
    TimePoint last_failure;
    bool is_responsive = false;
    bool has_full_view = false;
    bool has_quorum = false;
    bool is_unconfirmed = false;
    TimePoint last_confirmed;
    // Empty until the host responds or is mentioned.
    ZoneId zone;

    bool IsLive(TimePoint now) const;
  };

  ControlHostTableOptions options;
  std::map<HostId, HostState> hosts;
  std::optional<TimePoint> last_quorum_query;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_CONTROL_HOST_TABLE_H_
