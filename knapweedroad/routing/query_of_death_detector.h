// Detects queries of death: requests that end each target that runs them.
//
//   QueryOfDeathDetector detector({});
//   if (detector.Check(fingerprint, service, now) == SendPermission::kAllowed)
//   {
//     detector.OnSent(fingerprint, {service, target}, now);
//   }
//   detector.OnEnded(fingerprint, {service, target}, AttemptFate::kLost, sent,
//                    now);
//
// A target that ends takes all requests with it that it runs, and a failure
// domain takes many targets at once, so that a single loss says little about a
// request. What tells a query of death from a sound request is that it is sent
// again, to a target that has not been lost, and loses that one, too. So a
// request that has lost targets is sent again to few of them at a time: none is
// sent while as many attempts are out as would complete the number of lost
// targets that condemns it. The first target that answers clears it.

#ifndef KNAPWEEDROAD_ROUTING_QUERY_OF_DEATH_DETECTOR_H_
#define KNAPWEEDROAD_ROUTING_QUERY_OF_DEATH_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/send_permission.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/routing/loss_report.h"
#include "knapweedroad/routing/request_fingerprint.h"

namespace knapweedroad {

struct QueryOfDeathOptions {
  // The number of targets that a request has lost when it is condemned, in at
  // least two rounds: one of them was sent after another was lost.
  size_t max_lost_targets = 3;
  // How long a request is remembered after its last loss.
  Duration memory = std::chrono::seconds(60);
  // A target that answers a health probe this soon after it was lost has not
  // ended, but lost its connections.
  Duration restart_time = std::chrono::milliseconds(500);
  // The most requests that are remembered, and the most losses of each.
  size_t max_requests = 1000;
  size_t max_losses = 64;
};

// How an attempt ended for its target.
enum class AttemptFate : uint8_t {
  kAnswered,  // the target has answered, with success or failure
  kLost,      // the target closed the connection without an answer
  kUnknown,   // nothing was sent, or nothing came in time
};

struct AttemptTarget {
  ServiceId service;
  TargetId target;

  friend bool operator==(const AttemptTarget&, const AttemptTarget&) = default;
};

// Remembers requests with lost targets, of this host and of those that other
// hosts report. The shards of a scatter are judged together until one of them
// answers, from then on each by itself. Not thread-safe.
class QueryOfDeathDetector {
 public:
  explicit QueryOfDeathDetector(QueryOfDeathOptions options)
      : options(options) {}

  // Whether no request is remembered, so that all are allowed.
  bool is_empty() const { return this->requests.empty(); }
  // Whether the request has lost a target lately.
  bool IsSuspect(RequestFingerprint request) const {
    return this->requests.contains(request);
  }
  // Whether the request has lost a target and none has answered it.
  bool IsUnanswered(RequestFingerprint request) const;
  // Rises when a request becomes suspect.
  uint64_t revision() const { return this->list_revision; }
  // Returns whether an attempt of the request may be sent to the service,
  // beside those that are out and `unsent` attempts that are about to be sent.
  SendPermission Check(RequestFingerprint request,
                       const ServiceId& service,
                       size_t unsent = 0) const;

  // Counts an attempt that is out. Has no effect for a request that isn't
  // suspect; neither have the functions below, unless the attempt was lost.
  void OnSent(RequestFingerprint request, const AttemptTarget& attempt);
  // Records the end of an attempt that was sent at `sent`. Also called for
  // attempts that were sent before the request became suspect. Returns whether
  // the request is condemned by it.
  bool OnEnded(RequestFingerprint request,
               const AttemptTarget& attempt,
               AttemptFate fate,
               TimePoint sent,
               TimePoint now);
  // Records that the service answered the request at `at`, in an attempt that
  // ended before the request became suspect.
  void OnAnsweredBefore(RequestFingerprint request,
                        const ServiceId& service,
                        TimePoint at);
  // Records that a target answered a health probe, and is not cold. A target
  // that restarted in the meantime would be.
  void OnTargetAlive(const TargetId& target, TimePoint now);

  // What this host and others know of the request; nothing if it isn't suspect
  // or has been cleared.
  std::optional<LossReport> MakeReport(RequestFingerprint request) const;
  // Adds what another host knows. Returns whether that was new.
  bool Merge(const LossReport& report, TimePoint now);

  // Forgets requests whose last loss is long ago.
  void Expire(TimePoint now);

  size_t suspect_count() const { return this->requests.size(); }
  // The number of requests remembered that are condemned.
  size_t condemned_count() const;
  // The number of targets that the request has lost.
  size_t LossCount(RequestFingerprint request) const;

 private:
  struct Loss {
    AttemptTarget attempt;
    uint32_t round = 1;
    TimePoint at;
  };

  struct Suspect {
    // Whether no service has answered: all are judged together.
    bool IsUnanswered() const {
      return this->answered.empty() && !this->has_remote_answer;
    }

    std::vector<Loss> losses;
    // Attempts that are out, sent since the request became suspect.
    std::vector<AttemptTarget> in_flight;
    // The last answer of each service.
    std::map<ServiceId, TimePoint> answered;
    // Whether another host has reported an answer.
    bool has_remote_answer = false;
    uint32_t rounds = 0;
    // The first loss of the last round. An attempt that was sent later, and
    // lost, begins another one.
    TimePoint round_began_at;
    TimePoint last_loss;
  };

  // What counts in the decision about one service.
  struct Evidence {
    size_t lost = 0;
    bool has_two_rounds = false;
    size_t in_flight = 0;
  };

  // Whether an answer has come since the service's last loss.
  static bool IsCleared(const Suspect& suspect, const ServiceId& service);
  static Evidence EvidenceOn(const Suspect& suspect,
                             const ServiceId& service,
                             size_t unsent);
  bool IsCondemned(const Evidence& evidence) const;
  void AddLoss(Suspect& suspect, Loss loss) const;
  // Returns null if too many requests are remembered.
  Suspect* FindOrAdd(RequestFingerprint request);

  QueryOfDeathOptions options;
  std::unordered_map<RequestFingerprint, Suspect> requests;
  uint64_t list_revision = 1;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_QUERY_OF_DEATH_DETECTOR_H_
