// The part of RequestAttempts that tells the detector of queries of death what
// became of attempts.

#include <optional>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/entry_parts.h"
#include "knapweedroad/edge/loss_sharing.h"
#include "knapweedroad/edge/request_attempts.h"
#include "knapweedroad/edge/request_log.h"
#include "knapweedroad/routing/loss_report.h"
#include "knapweedroad/routing/query_of_death_detector.h"

namespace knapweedroad {

RequestFingerprint RequestAttempts::fingerprint() {
  if (!this->known_fingerprint) {
    this->known_fingerprint = FingerprintOf(*this->options.request);
  }
  return *this->known_fingerprint;
}

bool RequestAttempts::IsSuspect() {
  const QueryOfDeathDetector& detector = this->options.parts.detector;
  if (this->checked_revision != detector.revision()) {
    this->checked_revision = detector.revision();
    const bool was_suspect = this->is_suspect;
    this->is_suspect =
        !detector.is_empty() && detector.IsSuspect(this->fingerprint());
    if (this->is_suspect && !was_suspect) {
      this->ReportAttempts();
    }
  }
  return this->is_suspect;
}

void RequestAttempts::ReportAttempts() {
  QueryOfDeathDetector& detector = this->options.parts.detector;
  for (const Attempt& attempt : this->attempts) {
    if (attempt.answered) {
      detector.OnAnsweredBefore(this->fingerprint(), attempt.service,
                                *attempt.answered);
    } else if (attempt.exchange != nullptr || attempt.is_gathered) {
      detector.OnSent(this->fingerprint(), {attempt.service, attempt.target});
    }
  }
}

SendPermission RequestAttempts::CheckSend(const ServiceId& service,
                                          size_t unsent) {
  return this->IsSuspect() ? this->options.parts.detector.Check(
                                 this->fingerprint(), service, unsent)
                           : SendPermission::kAllowed;
}

void RequestAttempts::RecordFate(Attempt& attempt,
                                 AttemptFate fate,
                                 TimePoint now) {
  if (fate == AttemptFate::kAnswered) {
    attempt.answered = now;
  }
  if (fate == AttemptFate::kLost) {
    this->RecordLoss(attempt, now);
  } else if (this->IsSuspect()) {
    this->options.parts.detector.OnEnded(this->fingerprint(),
                                         {attempt.service, attempt.target},
                                         fate, attempt.sent, now);
  }
}

void RequestAttempts::RecordLoss(const Attempt& attempt, TimePoint now) {
  QueryOfDeathDetector& detector = this->options.parts.detector;
  ++this->losses;
  const bool is_condemned =
      detector.OnEnded(this->fingerprint(), {attempt.service, attempt.target},
                       AttemptFate::kLost, attempt.sent, now);
  // Other callers' requests with the same content may be out as well.
  for (RequestAttempts* const other : this->options.parts.running_attempts) {
    other->IsSuspect();
  }
  LogTargetLost(*this->options.request, {.route = this->options.route_name,
                                         .service = attempt.service,
                                         .target = attempt.target,
                                         .took = now - attempt.sent});
  if (is_condemned) {
    LogQueryOfDeath(
        *this->options.request, this->options.route_name,
        detector.MakeReport(this->fingerprint()).value_or(LossReport()));
  }
  this->options.parts.loss_sharing.ShareSoon(this->fingerprint());
}

}  // namespace knapweedroad
