#include "knapweedroad/routing/query_of_death_detector.h"

#include <algorithm>
#include <utility>

namespace knapweedroad {

bool QueryOfDeathDetector::IsCleared(const Suspect& suspect,
                                     const ServiceId& service) {
  const auto answered = suspect.answered.find(service);
  return answered != suspect.answered.end() &&
         std::ranges::all_of(suspect.losses, [&](const Loss& loss) {
           return loss.attempt.service != service || loss.at < answered->second;
         });
}

QueryOfDeathDetector::Evidence QueryOfDeathDetector::EvidenceOn(
    const Suspect& suspect,
    const ServiceId& service,
    size_t unsent) {
  const bool is_whole = suspect.IsUnanswered();
  const auto answered = suspect.answered.find(service);
  Evidence evidence{.in_flight = is_whole ? unsent : 0};
  std::optional<uint32_t> round;
  for (const Loss& loss : suspect.losses) {
    const bool is_before_answer =
        answered != suspect.answered.end() && loss.at < answered->second;
    const bool is_of_service = is_whole || loss.attempt.service == service;
    if (!is_of_service || is_before_answer) {
      continue;
    }
    ++evidence.lost;
    evidence.has_two_rounds =
        evidence.has_two_rounds || round.value_or(loss.round) != loss.round;
    round = loss.round;
  }
  for (const AttemptTarget& attempt : suspect.in_flight) {
    evidence.in_flight += is_whole || attempt.service == service ? 1 : 0;
  }
  return evidence;
}

bool QueryOfDeathDetector::IsCondemned(const Evidence& evidence) const {
  return evidence.lost >= this->options.max_lost_targets &&
         evidence.has_two_rounds;
}

SendPermission QueryOfDeathDetector::Check(RequestFingerprint request,
                                           const ServiceId& service,
                                           size_t unsent) const {
  const auto found = this->requests.find(request);
  if (found == this->requests.end() || IsCleared(found->second, service)) {
    return SendPermission::kAllowed;
  }
  const Evidence evidence = EvidenceOn(found->second, service, unsent);
  if (this->IsCondemned(evidence)) {
    return SendPermission::kRefused;
  }
  if (evidence.lost == 0) {
    return SendPermission::kAllowed;
  }
  const size_t max_in_flight =
      evidence.lost < this->options.max_lost_targets
          ? this->options.max_lost_targets - evidence.lost
          : 1;
  return evidence.in_flight < max_in_flight ? SendPermission::kAllowed
                                            : SendPermission::kHeld;
}

bool QueryOfDeathDetector::IsUnanswered(RequestFingerprint request) const {
  const auto found = this->requests.find(request);
  return found != this->requests.end() && !found->second.losses.empty() &&
         found->second.IsUnanswered();
}

QueryOfDeathDetector::Suspect* QueryOfDeathDetector::FindOrAdd(
    RequestFingerprint request) {
  const auto found = this->requests.find(request);
  if (found != this->requests.end()) {
    return &found->second;
  }
  if (this->requests.size() >= this->options.max_requests) {
    return nullptr;
  }
  ++this->list_revision;
  return &this->requests[request];
}

void QueryOfDeathDetector::AddLoss(Suspect& suspect, Loss loss) const {
  suspect.last_loss = std::max(suspect.last_loss, loss.at);
  suspect.rounds = std::max(suspect.rounds, loss.round);
  const bool is_known = std::ranges::any_of(
      suspect.losses,
      [&](const Loss& known) { return known.attempt == loss.attempt; });
  if (!is_known && suspect.losses.size() < this->options.max_losses) {
    suspect.losses.push_back(std::move(loss));
  }
}

void QueryOfDeathDetector::OnSent(RequestFingerprint request,
                                  const AttemptTarget& attempt) {
  const auto found = this->requests.find(request);
  if (found != this->requests.end()) {
    found->second.in_flight.push_back(attempt);
  }
}

bool QueryOfDeathDetector::OnEnded(RequestFingerprint request,
                                   const AttemptTarget& attempt,
                                   AttemptFate fate,
                                   TimePoint sent,
                                   TimePoint now) {
  const auto found = this->requests.find(request);
  if (found != this->requests.end()) {
    std::vector<AttemptTarget>& in_flight = found->second.in_flight;
    const auto place = std::ranges::find(in_flight, attempt);
    if (place != in_flight.end()) {
      in_flight.erase(place);
    }
  }
  if (fate == AttemptFate::kAnswered) {
    this->OnAnsweredBefore(request, attempt.service, now);
  }
  Suspect* const suspect =
      fate == AttemptFate::kLost ? this->FindOrAdd(request) : nullptr;
  if (suspect == nullptr) {
    return false;
  }
  const bool was_condemned =
      this->Check(request, attempt.service) == SendPermission::kRefused;
  const bool begins_round =
      suspect->rounds == 0 || sent >= suspect->round_began_at;
  this->AddLoss(*suspect, {.attempt = attempt,
                           .round = suspect->rounds + (begins_round ? 1 : 0),
                           .at = now});
  if (begins_round) {
    suspect->round_began_at = now;
  }
  return !was_condemned &&
         this->Check(request, attempt.service) == SendPermission::kRefused;
}

void QueryOfDeathDetector::OnAnsweredBefore(RequestFingerprint request,
                                            const ServiceId& service,
                                            TimePoint at) {
  const auto found = this->requests.find(request);
  if (found != this->requests.end()) {
    TimePoint& answered = found->second.answered[service];
    answered = std::max(answered, at);
  }
}

void QueryOfDeathDetector::OnTargetAlive(const TargetId& target,
                                         TimePoint now) {
  for (auto& [request, suspect] : this->requests) {
    std::erase_if(suspect.losses, [&](const Loss& loss) {
      return loss.attempt.target == target &&
             now - loss.at <= this->options.restart_time;
    });
  }
  std::erase_if(this->requests, [](const auto& entry) {
    return entry.second.losses.empty() && entry.second.in_flight.empty();
  });
}

std::optional<LossReport> QueryOfDeathDetector::MakeReport(
    RequestFingerprint request) const {
  const auto found = this->requests.find(request);
  if (found == this->requests.end()) {
    return std::nullopt;
  }
  LossReport report{.fingerprint = static_cast<uint64_t>(request),
                    .has_answer = !found->second.IsUnanswered()};
  for (const Loss& loss : found->second.losses) {
    if (!IsCleared(found->second, loss.attempt.service)) {
      report.lost.push_back({.service = loss.attempt.service,
                             .target = loss.attempt.target,
                             .round = loss.round});
    }
  }
  return report.lost.empty() ? std::nullopt : std::optional(std::move(report));
}

bool QueryOfDeathDetector::Merge(const LossReport& report, TimePoint now) {
  if (report.lost.empty()) {
    return false;
  }
  Suspect* const suspect =
      this->FindOrAdd(RequestFingerprint{report.fingerprint});
  if (suspect == nullptr) {
    return false;
  }
  const size_t before = suspect->losses.size();
  if (before == 0) {
    suspect->round_began_at = now;
  }
  suspect->has_remote_answer = suspect->has_remote_answer || report.has_answer;
  for (const LostTarget& lost : report.lost) {
    this->AddLoss(*suspect, {.attempt = {lost.service, lost.target},
                             .round = std::max<uint32_t>(lost.round, 1),
                             .at = now});
  }
  return suspect->losses.size() > before;
}

void QueryOfDeathDetector::Expire(TimePoint now) {
  std::erase_if(this->requests, [&](const auto& entry) {
    return now - entry.second.last_loss > this->options.memory;
  });
}

size_t QueryOfDeathDetector::condemned_count() const {
  const auto is_condemned = [this](const auto& entry) {
    return std::ranges::any_of(entry.second.losses, [&](const Loss& loss) {
      return this->Check(entry.first, loss.attempt.service) ==
             SendPermission::kRefused;
    });
  };
  return static_cast<size_t>(
      std::ranges::count_if(this->requests, is_condemned));
}

size_t QueryOfDeathDetector::LossCount(RequestFingerprint request) const {
  const auto found = this->requests.find(request);
  return found == this->requests.end() ? 0 : found->second.losses.size();
}

}  // namespace knapweedroad
