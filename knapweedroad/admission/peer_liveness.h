// Tracks the other hosts that a host's leases depend on: which of them reply,
// which are known not to be running, and whether this host is isolated, that
// is, doesn't reach a majority of the voters.
//
//   liveness.OnReply(host, sent_at, now);
//   if (liveness.MayUseOwnPart(now)) ...

#ifndef KNAPWEEDROAD_ADMISSION_PEER_LIVENESS_H_
#define KNAPWEEDROAD_ADMISSION_PEER_LIVENESS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "knapweedroad/admission/lease_timing.h"
#include "knapweedroad/base/id.h"

namespace knapweedroad {

class PeerLiveness {
 public:
  struct Options {
    HostId self;
    // The start of this process, by the clock of the `now` parameters.
    TimePoint started{};
    // All configured hosts of the zone, this one included.
    std::vector<HostId> zone_hosts;
    // The hosts that vote on leases (`LeaseVoters()`).
    std::vector<HostId> voters;
    LeaseTiming timing;
  };

  explicit PeerLiveness(const Options& options) : options(options) {}

  // Records a reply to a request that this incarnation sent at `sent_at`.
  void OnReply(const HostId& host, TimePoint sent_at, TimePoint now);

  // Records a request of another host. With `is_final` the host counts as
  // stopped from now on, if its previous request had the same incarnation;
  // without, it no longer counts as stopped.
  void OnRequest(const HostId& host,
                 uint64_t incarnation,
                 bool is_final,
                 TimePoint now);

  // Records that the host refused a connection begun at `attempted_at`. Unless
  // a request of that host arrived at that time or later, it counts as stopped
  // once attempts that it may have sent before have ended.
  void OnConnectionRefused(const HostId& host,
                           TimePoint attempted_at,
                           TimePoint now);

  // Returns whether a majority of the voters has replied to requests that were
  // sent within the last lease length.
  bool ReachesMajority(TimePoint now) const;

  // Returns whether this host has been running for more than one lease length
  // and doesn't reach a majority.
  bool IsIsolated(TimePoint now) const;

  // Returns whether this host is isolated and may use its own part of each
  // target's slots. Every other host of the zone must have replied to this
  // incarnation, at least the longest work time ago. Until it replies, a host
  // may count the former incarnation as stopped and use the part, and its
  // attempts may continue to run after that.
  bool MayUseOwnPart(TimePoint now) const;

  // Returns the time from which the host's parts of the slots are free because
  // it is known not to be running; TimePoint::max() if that isn't known.
  TimePoint StoppedFrom(const HostId& host) const;

  // Returns whether the host has ever replied to this incarnation.
  bool HasReplied(const HostId& host) const {
    return this->first_reply_at.contains(host);
  }

 private:
  struct LastRequest {
    uint64_t incarnation = 0;
    TimePoint received_at{};
  };

  Duration MaxWorkTime() const;

  Options options;
  // The send time of the latest answered request.
  std::map<HostId, TimePoint> answered_request_sent_at;
  // The time of the first reply to this incarnation. From then on the replying
  // host no longer counts this host as stopped.
  std::map<HostId, TimePoint> first_reply_at;
  std::map<HostId, LastRequest> last_requests;
  std::map<HostId, TimePoint> stopped_from;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_PEER_LIVENESS_H_
