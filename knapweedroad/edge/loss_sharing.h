// Tells other entry hosts about requests that have lost targets, and learns
// from them.
//
//   LossSharing sharing(runtime, {.self = name, .zone = zone, ...});
//   sharing.ShareSoon(fingerprint);   // after a loss
//   sharing.Share(fingerprint);       // the caller gets a failure
//
// A caller whose request fails repeats it at once, at another host of its zone
// most of the time. So a report goes straight to all entry hosts of the zone,
// and to a few of each other zone, which pass it on there.

#ifndef KNAPWEEDROAD_EDGE_LOSS_SHARING_H_
#define KNAPWEEDROAD_EDGE_LOSS_SHARING_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/entry_host_record.h"
#include "knapweedroad/routing/request_fingerprint.h"

namespace knapweedroad {

class QueryOfDeathDetector;
class Runtime;
struct LossReport;

struct LossSharingOptions {
  // This host and its zone.
  HostId self;
  ZoneId zone;
  // Outlives the sharing.
  QueryOfDeathDetector& detector;
  // All entry hosts known; none if unset.
  std::function<const std::vector<EntryHostRecord>&()> entry_hosts;
  // Hosts of each other zone that get a report to pass on.
  size_t hosts_per_other_zone = 2;
  // Messages a second, and the most at once. A report takes about 60 bytes and
  // one message for each host that it goes to.
  double messages_per_second = 50;
  double max_burst = 500;
};

class LossSharing {
 public:
  LossSharing(Runtime& runtime, LossSharingOptions options);
  ~LossSharing();

  // Sends what is known of the request, unless it is cleared. Reports of a
  // single loss leave half of the burst to others.
  void Share(RequestFingerprint request);
  // The same in a moment, for losses that come together, and only if several
  // targets were lost.
  void ShareSoon(RequestFingerprint request);
  // Takes another host's report. The error says why it can't be read.
  tl::expected<std::string, std::string> OnReport(const std::string& body);

  // Closes connections that have not been used lately. Called every few hundred
  // milliseconds.
  void Sweep(TimePoint now);

  // Reports to one host each: sent, received, and left out for the limit.
  uint64_t sent() const;
  uint64_t received() const;
  uint64_t dropped() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_LOSS_SHARING_H_
