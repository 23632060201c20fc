#include "knapweedroad/edge/rollout_owner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/registry/target_registry.h"
#include "knapweedroad/rollout/rollout_orders.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;

// An owner that isn't in touch for this long loses its roll-outs.
constexpr Duration kOwnerAbsent = milliseconds(700);

void LogPhase(const RolloutController& controller) {
  LogLine("rollout_phase")
      .Add("service", controller.record().service)
      .Add("candidate", controller.record().candidate)
      .Add("number", controller.record().number)
      .Add("phase", ToString(controller.phase()))
      .Add("permille", controller.directive().candidate_permille)
      .Add("directive", controller.directive().sequence)
      .Add("sent", controller.sent())
      .Add("to_candidate", controller.sent_to_candidate())
      .Add("answers", controller.comparison().Describe())
      .Info();
}

void LogEnd(const RolloutController& controller) {
  LogLine("rollout_decided")
      .Add("service", controller.record().service)
      .Add("stable", controller.record().stable)
      .Add("candidate", controller.record().candidate)
      .Add("number", controller.record().number)
      .Add("completed",
           controller.decision()->state == RolloutState::kCompleted)
      .Add("cause", controller.decision()->cause)
      .Add("sent", controller.sent())
      .Add("to_candidate", controller.sent_to_candidate())
      .Add("answers", controller.comparison().Describe())
      .Info();
}

}  // namespace

RolloutOwner::RolloutOwner(Runtime& runtime, RolloutOwnerOptions options)
    : runtime(runtime), options(std::move(options)) {}

RolloutController RolloutOwner::MakeController(
    const RolloutRecord& record) const {
  const TimePoint now = Runtime::Now();
  const Duration duration = milliseconds(record.duration_ms);
  // Clocks differ between hosts: what this host has heard itself bounds what
  // the other's clock makes of the order's age.
  const Duration age = std::clamp<Duration>(
      milliseconds(UnixMs() - record.ordered_ms), Duration::zero(), duration);
  const auto heard = this->first_heard.find({record.service, record.number});
  const TimePoint first =
      heard == this->first_heard.end() ? now : heard->second;
  const TimePoint ordered = std::min<TimePoint>(first, now - age);
  return RolloutController({.record = record,
                            .ordered_at = ordered,
                            .deadline = ordered + duration,
                            .exposure = this->options.exposure},
                           now);
}

void RolloutOwner::SetRollouts(const std::vector<RolloutRecord>& next) {
  this->rollouts = next;
  std::set<std::pair<ServiceId, uint64_t>> running;
  std::set<ServiceId> owned;
  for (const RolloutRecord& record : next) {
    if (record.state != RolloutState::kRunning) {
      continue;
    }
    running.emplace(record.service, record.number);
    this->first_heard.try_emplace({record.service, record.number},
                                  Runtime::Now());
    if (record.owner != this->options.self) {
      continue;
    }
    owned.insert(record.service);
    const auto held = this->controllers.find(record.service);
    if (held != this->controllers.end() &&
        held->second.record().number == record.number) {
      continue;
    }
    this->controllers.erase(record.service);
    this->controllers.emplace(record.service, this->MakeController(record));
    LogLine("rollout_owned")
        .Add("service", record.service)
        .Add("stable", record.stable)
        .Add("candidate", record.candidate)
        .Add("number", record.number)
        .Add("duration_ms", record.duration_ms)
        .Info();
  }
  std::erase_if(this->controllers, [&](const auto& entry) {
    return !owned.contains(entry.first);
  });
  std::erase_if(this->first_heard, [&](const auto& entry) {
    return !running.contains(entry.first);
  });
}

bool RolloutOwner::MayExpose() const {
  const bool hears_most = this->options.live_control_hosts().size() * 2 >
                          this->options.known_control_hosts();
  return hears_most && this->options.has_quorum();
}

RolloutReportReply RolloutOwner::Answer(const RolloutReport& report) {
  Reporter& reporter = this->reporters[report.host];
  if (reporter.epoch != report.epoch) {
    reporter = {.epoch = report.epoch};
  }
  RolloutReportReply reply;
  // One that was overtaken by a later one.
  if (report.sequence <= reporter.sequence) {
    return reply;
  }
  reporter.sequence = report.sequence;
  const bool is_repeated = report.answers_number <= reporter.answers_number;
  reporter.answers_number =
      std::max(reporter.answers_number, report.answers_number);
  const TimePoint now = Runtime::Now();
  const bool may_expose = this->MayExpose();
  Duration next = std::chrono::seconds(1);
  for (const RolloutProgress& progress : report.rollouts) {
    const auto found = this->controllers.find(progress.service);
    if (found == this->controllers.end()) {
      continue;
    }
    RolloutController& controller = found->second;
    controller.OnReport(report.host, report.epoch, progress, is_repeated, now);
    RolloutDirective directive = controller.directive();
    if (!may_expose) {
      directive.sequence = 0;
      directive.candidate_permille = 0;
      directive.allows_stable = true;
    }
    reply.directives.push_back(std::move(directive));
    next = std::min(next, controller.ReportInterval(now));
  }
  reply.next_ms = next / milliseconds(1);
  return reply;
}

std::map<ServiceId, RolloutOwner::Slots> RolloutOwner::CountSlots(
    TimePoint now) const {
  std::map<ServiceId, Slots> slots;
  this->options.registry.ForEach(
      [&](const TargetRecord& record, bool is_cold) {
        const auto owned = this->controllers.find(record.service);
        if (owned == this->controllers.end() || is_cold ||
            record.phase != TargetPhase::kServing) {
          return;
        }
        Slots& of = slots[record.service];
        const bool is_candidate =
            record.version == owned->second.record().candidate;
        (is_candidate ? of.candidate : of.stable) += record.slots;
      },
      now);
  return slots;
}

void RolloutOwner::Tick() {
  const TimePoint now = Runtime::Now();
  this->TakeOver(now);
  if (this->controllers.empty()) {
    return;
  }
  const std::vector<HostId> entry_hosts = this->options.entry_hosts();
  std::map<ServiceId, Slots> slots = this->CountSlots(now);
  const bool may_expose = this->MayExpose();
  for (auto& [service, controller] : this->controllers) {
    const RolloutPhase phase = controller.phase();
    const uint64_t directive = controller.directive().sequence;
    const Slots& of = slots[service];
    controller.Tick({.entry_hosts = entry_hosts,
                     .candidate_slots = of.candidate,
                     .stable_slots = of.stable,
                     .may_expose = may_expose},
                    now);
    if (controller.phase() == RolloutPhase::kEnded &&
        phase != RolloutPhase::kEnded) {
      LogEnd(controller);
    } else if (controller.phase() != phase ||
               controller.directive().sequence != directive) {
      LogPhase(controller);
    }
  }
  this->AgreeOnEnds();
}

void RolloutOwner::AgreeOnEnds() {
  struct Ended {
    ServiceId service;
    uint64_t number;
    RolloutState state;
  };
  std::vector<Ended> ends;
  for (const auto& [service, controller] : this->controllers) {
    if (controller.decision()) {
      ends.push_back(
          {service, controller.record().number, controller.decision()->state});
    }
  }
  if (ends.empty()) {
    return;
  }
  this->Agree("ends of roll-outs", [ends, self = this->options.self](
                                       std::vector<RolloutRecord>& records) {
    for (const Ended& ended : ends) {
      FinishRollout(records, ended.service, ended.number, self, ended.state);
    }
  });
}

void RolloutOwner::Agree(
    const std::string& name,
    std::function<void(std::vector<RolloutRecord>& rollouts)> edit) {
  if (std::exchange(this->is_agreeing, true)) {
    return;
  }
  this->runtime.Spawn(
      [self = this->shared_from_this(), name, edit = std::move(edit)] {
        self->options.agree(name, edit);
        self->is_agreeing = false;
      });
}

bool RolloutOwner::MayTakeOver(const RolloutRecord& record,
                               const std::vector<HostId>& live,
                               TimePoint now) {
  if (record.state != RolloutState::kRunning ||
      std::ranges::find(live, record.owner) != live.end()) {
    this->absent.erase(record.owner);
    return false;
  }
  const auto [since, is_new] = this->absent.try_emplace(record.owner, now);
  return now - since->second >= kOwnerAbsent &&
         std::ranges::min(live) == this->options.self;
}

void RolloutOwner::TakeOver(TimePoint now) {
  if (this->rollouts.empty()) {
    return;
  }
  const std::vector<HostId> live = this->options.live_control_hosts();
  std::vector<std::pair<ServiceId, HostId>> orphans;
  for (const RolloutRecord& record : this->rollouts) {
    if (this->MayTakeOver(record, live, now)) {
      orphans.emplace_back(record.service, record.owner);
    }
  }
  if (orphans.empty()) {
    return;
  }
  this->Agree("owners of roll-outs", [orphans, self = this->options.self](
                                         std::vector<RolloutRecord>& records) {
    for (const auto& [service, owner] : orphans) {
      TakeOverRollout(records, service, owner, self);
    }
  });
}

}  // namespace knapweedroad
