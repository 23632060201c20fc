#include "knapweedroad/host/query_watch.h"

#include <algorithm>

namespace knapweedroad {

void QueryWatch::OnSent(const AttemptTarget& attempt, TimePoint now) {
  this->attempts.push_back({.at = attempt, .sent = now});
  this->detector.OnSent(this->request, attempt);
}

void QueryWatch::ReportAttempts() {
  for (const Attempt& attempt : this->attempts) {
    if (attempt.is_in_flight) {
      this->detector.OnSent(this->request, attempt.at);
    } else if (attempt.answered) {
      this->detector.OnAnsweredBefore(this->request, attempt.at.service,
                                      *attempt.answered);
    }
  }
}

bool QueryWatch::OnEnded(const AttemptTarget& attempt,
                         AttemptFate fate,
                         TimePoint now) {
  const auto found =
      std::ranges::find_if(this->attempts, [&](const Attempt& sent) {
        return sent.is_in_flight && sent.at == attempt;
      });
  if (found == this->attempts.end()) {
    return false;
  }
  found->is_in_flight = false;
  if (fate == AttemptFate::kAnswered) {
    found->answered = now;
  }
  const bool was_suspect = this->detector.IsSuspect(this->request);
  const bool is_condemned =
      this->detector.OnEnded(this->request, attempt, fate, found->sent, now);
  if (!was_suspect && this->detector.IsSuspect(this->request)) {
    this->ReportAttempts();
  }
  return is_condemned;
}

}  // namespace knapweedroad
