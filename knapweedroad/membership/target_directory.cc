#include "knapweedroad/membership/target_directory.h"

#include <algorithm>

namespace knapweedroad {

TargetDirectory::TargetDirectory(Options options)
    : options(std::move(options)) {}

bool TargetDirectory::OnReport(const TargetReport& report, TimePoint now) {
  return this->Accept(report, now, true, now);
}

bool TargetDirectory::OnRelayedReport(const RelayedReport& relayed,
                                      TimePoint now) {
  const Duration age = std::max<Duration>(relayed.age, Duration::zero());
  return this->Accept(relayed.report, now - age, false, now);
}

bool TargetDirectory::Accept(const TargetReport& report,
                             TimePoint received_at,
                             bool from_target,
                             TimePoint now) {
  this->RemoveExpired(now);
  if (now - received_at >= this->options.expire_after) {
    return false;
  }
  const auto [found, added] = this->entries.try_emplace(report.target);
  Entry& entry = found->second;
  const TargetReport& previous = entry.report;
  if (!added && std::pair(report.incarnation, report.sequence) <=
                    std::pair(previous.incarnation, previous.sequence)) {
    return false;
  }
  const bool same_incarnation =
      !added && report.incarnation == previous.incarnation;
  const bool was_leaving =
      same_incarnation && previous.state == TargetState::kLeaving;
  const bool state_changed =
      !same_incarnation || report.state != previous.state;
  this->by_service[{previous.front, previous.service}].erase(report.target);
  this->by_service[{report.front, report.service}].insert(report.target);
  entry.report = report;
  entry.received_at = received_at;
  // A target that is leaving stays so for the rest of its incarnation. Another
  // of its threads may still send a report that it composed before.
  if (was_leaving) {
    entry.report.state = TargetState::kLeaving;
  }
  const bool urgent = state_changed && report.state != TargetState::kReady;
  entry.urgent = urgent || (entry.urgent && entry.sends_left > 0);
  if (urgent) {
    entry.sends_left = this->options.urgent_send_count;
  } else if (from_target) {
    entry.sends_left = std::max<uint32_t>(entry.sends_left, 1);
  }
  return true;
}

void TargetDirectory::RemoveExpired(TimePoint now) {
  std::erase_if(this->entries, [&](const auto& item) {
    const Entry& entry = item.second;
    if (now - entry.received_at < this->options.expire_after) {
      return false;
    }
    const TargetReport& report = entry.report;
    this->by_service[{report.front, report.service}].erase(report.target);
    return true;
  });
  std::erase_if(this->by_service,
                [](const auto& item) { return item.second.empty(); });
}

std::vector<RelayedReport> TargetDirectory::TakePendingReports(
    std::size_t max_reports,
    TimePoint now) {
  std::vector<RelayedReport> reports;
  for (const bool urgent : {true, false}) {
    for (auto& [target, entry] : this->entries) {
      const bool pending = entry.sends_left > 0 && entry.urgent == urgent;
      if (!pending || reports.size() >= max_reports) {
        continue;
      }
      --entry.sends_left;
      reports.push_back(
          {.report = entry.report, .age = now - entry.received_at});
    }
  }
  return reports;
}

bool TargetDirectory::IsStale(const Entry& entry, TimePoint now) const {
  return now - entry.received_at >= this->options.stale_after;
}

std::vector<TargetCandidate> TargetDirectory::Candidates(
    const FrontId& front,
    const ServiceId& service,
    TimePoint now) const {
  std::vector<TargetCandidate> candidates;
  const auto targets = this->by_service.find({front, service});
  if (targets == this->by_service.end()) {
    return candidates;
  }
  for (const TargetId& target : targets->second) {
    const Entry& entry = this->entries.at(target);
    const TargetReport& report = entry.report;
    const bool out_of_service =
        this->options.is_zone_out_of_service &&
        this->options.is_zone_out_of_service(report.zone);
    candidates.push_back({.target = target,
                          .zone = report.zone,
                          .state = report.state,
                          .snapshots = report.snapshots,
                          .in_flight = report.in_flight,
                          .queued = report.queued,
                          .usable = !out_of_service &&
                                    !this->IsStale(entry, now) &&
                                    report.state != TargetState::kLeaving});
  }
  return candidates;
}

const TargetReport* TargetDirectory::Find(const TargetId& target) const {
  const auto found = this->entries.find(target);
  return found == this->entries.end() ? nullptr : &found->second.report;
}

std::vector<TargetReport> TargetDirectory::LiveTargets(const ZoneId& zone,
                                                       TimePoint now) const {
  std::vector<TargetReport> reports;
  for (const auto& [target, entry] : this->entries) {
    if (entry.report.zone == zone && !this->IsStale(entry, now)) {
      reports.push_back(entry.report);
    }
  }
  return reports;
}

}  // namespace knapweedroad
