// The attempts of one caller's request, as the detector of queries of death
// sees them.
//
//   QueryWatch watch(detector, fingerprint);
//   watch.OnSent(attempt, now);
//   if (watch.OnEnded(attempt, AttemptFate::kLost, now)) LogCondemned();

#ifndef KNAPWEEDROAD_HOST_QUERY_WATCH_H_
#define KNAPWEEDROAD_HOST_QUERY_WATCH_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/send_permission.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/routing/query_of_death_detector.h"
#include "knapweedroad/routing/request_fingerprint.h"

namespace knapweedroad {

class QueryWatch {
 public:
  // `detector` must outlive the watch.
  QueryWatch(QueryOfDeathDetector& detector, RequestFingerprint request)
      : detector(detector), request(request) {}

  SendPermission CheckSend(const ServiceId& service, size_t unsent) const {
    return this->detector.Check(this->request, service, unsent);
  }

  RequestFingerprint fingerprint() const { return this->request; }
  void OnSent(const AttemptTarget& attempt, TimePoint now);
  // Returns whether the request is condemned by it.
  bool OnEnded(const AttemptTarget& attempt, AttemptFate fate, TimePoint now);

 private:
  struct Attempt {
    AttemptTarget at;
    TimePoint sent;
    bool is_in_flight = true;
    std::optional<TimePoint> answered;
  };

  // Tells the detector of attempts from before the request became suspect.
  void ReportAttempts();

  QueryOfDeathDetector& detector;
  RequestFingerprint request;
  std::vector<Attempt> attempts;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_QUERY_WATCH_H_
