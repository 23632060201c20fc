#include "knapweedroad/host/target_table.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/host/report_json.h"
#include "knapweedroad/host/target_link.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {

TargetTable::TargetTable(Runtime& runtime, ZoneId own_zone)
    : runtime(runtime),
      own_zone(std::move(own_zone)),
      configuration(std::make_shared<DeploymentConfig>()) {}

TargetTable::~TargetTable() = default;

bool TargetTable::ZoneIsOut() const {
  return std::any_of(this->configuration->zones.begin(),
                     this->configuration->zones.end(),
                     [&](const ZoneConfig& zone) {
                       return zone.name == this->own_zone && zone.out;
                     });
}

Duration TargetTable::MaxDeadline() const {
  Duration longest{};
  for (const FrontConfig& front : this->configuration->fronts) {
    longest = std::max(longest, front.max_deadline);
  }
  return longest;
}

std::optional<TargetAdmission::Options> TargetTable::OptionsFor(
    const FrontId& front_name,
    const ServiceId& service_name) const {
  for (const FrontConfig& front : this->configuration->fronts) {
    if (front.name != front_name) {
      continue;
    }
    for (const ServiceConfig& service : front.services) {
      if (service.name == service_name) {
        TargetAdmission::Options options{
            .slots = service.slots,
            .cold_slots = service.cold_slots,
            .max_connections = service.connections};
        options.max_deadline = std::min(front.max_deadline,
                                        kMaxWorkTime - options.deadline_margin);
        return options;
      }
    }
  }
  return std::nullopt;
}

void TargetTable::OnConfiguration(
    std::shared_ptr<const DeploymentConfig> next) {
  this->configuration = std::move(next);
  const bool accepting = !this->ZoneIsOut();
  for (auto& [target, entry] : this->entries) {
    const auto options =
        this->OptionsFor(entry.report.front, entry.report.service);
    if (options && (options->slots != entry.options.slots ||
                    options->cold_slots != entry.options.cold_slots ||
                    options->max_connections != entry.options.max_connections ||
                    options->max_deadline != entry.options.max_deadline)) {
      entry.options = *options;
      entry.link->SetOptions(*options);
    }
    entry.link->SetAcceptingNew(accepting && options.has_value());
  }
}

void TargetTable::OnReport(const TargetReport& report) {
  if (report.zone != this->own_zone) {
    return;
  }
  const auto options = this->OptionsFor(report.front, report.service);
  const auto endpoint = ReadEndpoint(report.address);
  if (!options || !endpoint) {
    return;
  }
  Entry& entry = this->entries[report.target];
  if (entry.link == nullptr || entry.report.address != report.address) {
    entry.options = *options;
    entry.link = std::make_unique<TargetLink>(
        this->runtime, TargetLinkOptions{.target = report.target,
                                         .endpoint = *endpoint,
                                         .admission = *options});
    entry.link->SetAcceptingNew(!this->ZoneIsOut());
    entry.link->SetShare(entry.share);
    LogLine("target_found")
        .Add("target", report.target)
        .Add("address", report.address)
        .Info();
  }
  entry.report = report;
  entry.link->OnReport(report);
}

void TargetTable::SetShare(const TargetId& target, const TargetShare& share) {
  const auto found = this->entries.find(target);
  if (found != this->entries.end()) {
    if (found->second.share.slots != share.slots) {
      ++this->lease_changes;
      LogLine("lease_share")
          .Add("target", target)
          .Add("slots", share.slots)
          .Add("cold_allowed", share.cold_allowed)
          .Info();
    }
    if (found->second.share.slots == 0 && share.slots > 0) {
      found->second.held_since = Runtime::Now();
    }
    found->second.share = share;
    found->second.link->SetShare(share);
  }
}

TargetLink* TargetTable::Find(const TargetId& target) {
  const auto found = this->entries.find(target);
  return found == this->entries.end() ? nullptr : found->second.link.get();
}

bool TargetTable::IsHeld(const TargetId& target) const {
  const auto found = this->entries.find(target);
  return found != this->entries.end() && found->second.share.slots > 0 &&
         Runtime::Now() < found->second.share.valid_until;
}

uint32_t TargetTable::Limit(const TargetId& target) const {
  if (!this->IsHeld(target)) {
    return 0;
  }
  return this->entries.at(target).link->admission().limit(Runtime::Now());
}

TargetLink* TargetTable::FindHeld(const TargetId& target) {
  return this->IsHeld(target) ? this->Find(target) : nullptr;
}

std::vector<LeaseTarget> TargetTable::LeaseTargets() const {
  std::vector<LeaseTarget> targets;
  for (const auto& [target, entry] : this->entries) {
    targets.push_back({.target = target,
                       .slots = entry.options.slots,
                       .work_time = entry.options.max_deadline +
                                    entry.options.deadline_margin});
  }
  return targets;
}

DecisionCounts TargetTable::Decisions() const {
  DecisionCounts sums{.lease_changes = this->lease_changes};
  for (const auto& [target, entry] : this->entries) {
    const TargetAdmission::Counters& counted =
        entry.link->admission().counters();
    sums.attempts_started += counted.started;
    sums.sheds += counted.sheds;
    sums.lost_connections += counted.lost_connections;
    sums.falls_to_cold += counted.cold_resets;
    for (size_t kind = 0; kind < kRefusalKinds; ++kind) {
      sums.refused[kind] += counted.refused[kind];
    }
  }
  return sums;
}

std::vector<HeldTarget> TargetTable::Held(TimePoint now, bool isolated) const {
  std::vector<HeldTarget> held;
  for (const auto& [target, entry] : this->entries) {
    if (entry.share.slots > 0 && now < entry.share.valid_until) {
      held.push_back({.target = target,
                      .slots = entry.share.slots,
                      .isolated = isolated,
                      .held_for = now - entry.held_since});
    }
  }
  return held;
}

std::vector<TargetId> TargetTable::Drained() const {
  std::vector<TargetId> drained;
  for (const auto& [target, entry] : this->entries) {
    const TargetAdmission& admission = entry.link->admission();
    if (entry.share.slots == 0 && admission.in_flight() == 0) {
      drained.push_back(target);
    }
  }
  return drained;
}

}  // namespace knapweedroad
