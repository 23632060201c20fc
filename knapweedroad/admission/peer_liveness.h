// What a host knows of the other hosts that its leases depend on: who answers,
// who is known not to run, and whether it is cut off itself.
//
//   contacts.OnAnswered(host, sent, now);
//   if (contacts.MayActIsolated(now)) ...

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
    TimePoint started{};
    // All configured hosts of the zone, this one included.
    std::vector<HostId> zone_hosts;
    std::vector<HostId> voters;
    LeaseTiming timing;
  };

  explicit PeerLiveness(const Options& options) : options(options) {}

  // The host answered a request of this incarnation that was sent at `sent`.
  void OnReply(const HostId& host, TimePoint sent_at, TimePoint now);

  // The host sent a request; `goodbye` with its last one.
  void OnRequest(const HostId& host,
                 uint64_t incarnation,
                 bool is_final,
                 TimePoint now);

  // The host refused a connection begun at `attempted`.
  void OnConnectionRefused(const HostId& host,
                           TimePoint attempted,
                           TimePoint now);

  // Whether a majority of the electorate answered what was sent within the
  // last lease length.
  bool ReachesMajority(TimePoint now) const;

  // The same without, and this host has run for long enough to tell.
  bool IsIsolated(TimePoint now) const;

  // Whether it is isolated, and no other host of the zone may be using its
  // part of any target's slots for having known its former life to be over.
  bool MayUseOwnPart(TimePoint now) const;

  // From when on the host's parts are free because it is known not to run;
  // max() for never.
  TimePoint StoppedFrom(const HostId& host) const;

  // Whether the host ever answered this incarnation.
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
  // When a host first answered this incarnation: from then on it no longer
  // takes this host for stopped.
  std::map<HostId, TimePoint> first_reply_at;
  std::map<HostId, LastRequest> last_requests;
  std::map<HostId, TimePoint> stopped_from;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ADMISSION_PEER_LIVENESS_H_
