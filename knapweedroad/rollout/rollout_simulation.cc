#include "knapweedroad/rollout/rollout_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "knapweedroad/rollout/answer_sampler.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("s");
const HostId kOwner("owner");
const VersionId kStable("v1");
const VersionId kCandidate("v2");
const TimePoint kOrderedAt{seconds(1000)};

constexpr ExposureBound kExposureBound{.share = 0.1, .slack = 50};
constexpr Duration kTickInterval = milliseconds(50);
// The simulation continues for this long after the deadline.
constexpr Duration kTimeAfterDeadline = seconds(16);
// The time from a decision until all entry hosts apply it: the agreement of the
// control hosts and the next update of the entry hosts.
constexpr Duration kPropagationDelay = milliseconds(120);
// Latencies are log-normal, with a tail of slower answers.
constexpr double kLongRouteMedianMs = 11;
constexpr double kShortRouteMedianMs = 3.8;
constexpr double kLatencySigma = 0.35;
constexpr double kTailShare = 0.01;
constexpr double kTailFactor = 5;
// Pauses of a target of about a tenth of a second every three seconds: the
// share of requests that meet one, and the longest delay.
constexpr double kPauseShare = 0.04;
constexpr double kPauseMs = 120;
// The bad answers from which on the time to the rollback is measured.
constexpr size_t kRollbackBadAnswers = 50;
// The window for the request rate of a target.
constexpr double kRateWindowSeconds = 0.25;
constexpr double kRetryDelayMs = 5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration Milliseconds(double ms) {
  return Duration(static_cast<int64_t>(ms * 1e6));
}

class RolloutSimulation {
 public:
  explicit RolloutSimulation(const RolloutSimulationOptions& options)
      : options(options),
        random(options.seed),
        record{.service = kService,
               .number = 1,
               .stable = kStable,
               .candidate = kCandidate,
               .duration_ms = options.duration / milliseconds(1),
               .owner = kOwner},
        controller(this->MakeController()) {}

  RolloutSimulationResult Run();

 private:
  // Ordered so that the earliest event is at the top of a priority queue.
  struct Event {
    TimePoint at;
    uint64_t sequence = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(this->at, this->sequence) >
             std::pair(other.at, other.sequence);
    }
  };

  struct Host {
    HostId id;
    std::unique_ptr<AnswerSampler> sampler;
    bool is_isolated = false;
  };

  // An attempt with its outcome, which is drawn when it is sent.
  struct Attempt {
    bool is_candidate = false;
    size_t target = 0;
    bool is_short_route = false;
    bool fails = false;
    bool is_bad = false;
    double latency_ms = 0;
  };

  void ScheduleAt(TimePoint at, std::function<void()> action) {
    this->events.push({at, ++this->sequence, std::move(action)});
  }
  bool DrawWithProbability(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) <
           probability;
  }
  bool IsPastDeadline() const {
    return this->now >= kOrderedAt + this->options.duration;
  }

  RolloutController MakeController() const {
    return RolloutController({.record = this->record,
                              .ordered_at = kOrderedAt,
                              .deadline = kOrderedAt + this->options.duration,
                              .exposure = kExposureBound,
                              .comparison = this->options.comparison},
                             this->now);
  }
  void StartRequest();
  void Send(Host& host, bool is_short_route, bool is_retry);
  Attempt MakeAttempt(bool is_candidate, bool is_short_route);
  void ApplyCandidateFault(Attempt& attempt);
  void ApplyTargetFault(Attempt& attempt);
  bool IsCandidateFaultActive(const Attempt& attempt);
  void EndAttempt(Host& host,
                  const SampledAttempt& sampled,
                  const Attempt& attempt);
  void SendReport(Host& host);
  void Tick();
  void AgreeOnEnd();

  RolloutSimulationOptions options;
  std::mt19937_64 random;
  TimePoint now = kOrderedAt;
  RolloutRecord record;
  RolloutController controller;
  std::vector<Host> hosts;
  std::vector<HostId> host_ids;
  std::priority_queue<Event> events;
  uint64_t sequence = 0;
  // Arrival times within the rate window, by target of the candidate.
  std::vector<std::deque<TimePoint>> candidate_arrivals;
  bool is_agreed = false;
  bool is_agreeing = false;
  TimePoint fiftieth_bad_at;
  TimePoint last_sent_to_candidate_at;
  uint64_t stable_in_flight = 0;
  RolloutSimulationResult result;
};

void RolloutSimulation::StartRequest() {
  std::uniform_int_distribution<size_t> pick_host(0, this->hosts.size() - 1);
  Host& host = this->hosts[pick_host(this->random)];
  this->Send(host, this->DrawWithProbability(this->options.short_route_share),
             /*is_retry=*/false);
  std::exponential_distribution<double> gap_seconds(this->options.rate);
  this->ScheduleAt(this->now + Milliseconds(gap_seconds(this->random) * 1e3),
                   [this] { this->StartRequest(); });
}

bool RolloutSimulation::IsCandidateFaultActive(const Attempt& attempt) {
  const CandidateFault& fault = this->options.fault;
  if (fault.share <= 0 || this->now - kOrderedAt < fault.starts_after ||
      (fault.only_short_route && !attempt.is_short_route)) {
    return false;
  }
  std::deque<TimePoint>& recent_arrivals =
      this->candidate_arrivals[attempt.target];
  recent_arrivals.push_back(this->now);
  while (Seconds(this->now - recent_arrivals.front()) > kRateWindowSeconds) {
    recent_arrivals.pop_front();
  }
  return static_cast<double>(recent_arrivals.size()) / kRateWindowSeconds >=
         fault.min_target_rate;
}

void RolloutSimulation::ApplyCandidateFault(Attempt& attempt) {
  const CandidateFault& fault = this->options.fault;
  if (!attempt.is_candidate || !this->IsCandidateFaultActive(attempt) ||
      !this->DrawWithProbability(fault.share)) {
    return;
  }
  attempt.is_bad = true;
  attempt.fails = fault.slow_factor <= 0;
  attempt.latency_ms *= attempt.fails ? 1 : fault.slow_factor;
}

void RolloutSimulation::ApplyTargetFault(Attempt& attempt) {
  const TargetFault& target_fault = this->options.target_fault;
  const double elapsed_fraction =
      Seconds(this->now - kOrderedAt) / Seconds(this->options.duration);
  const bool is_affected =
      (attempt.is_candidate ? target_fault.affects_candidate
                            : target_fault.affects_stable) &&
      attempt.target == 0 && elapsed_fraction > 0.3 && elapsed_fraction < 0.85;
  if (!is_affected) {
    return;
  }
  if (target_fault.slow_factor > 0) {
    attempt.latency_ms *= target_fault.slow_factor;
  } else if (this->DrawWithProbability(target_fault.share)) {
    attempt.fails = true;
  }
}

RolloutSimulation::Attempt RolloutSimulation::MakeAttempt(bool is_candidate,
                                                          bool is_short_route) {
  std::uniform_int_distribution<size_t> pick_target(0,
                                                    this->options.targets - 1);
  std::lognormal_distribution<double> latency_factor(0, kLatencySigma);
  Attempt attempt{.is_candidate = is_candidate,
                  .target = pick_target(this->random),
                  .is_short_route = is_short_route};
  attempt.latency_ms =
      (is_short_route ? kShortRouteMedianMs : kLongRouteMedianMs) *
      latency_factor(this->random);
  attempt.latency_ms *= this->DrawWithProbability(kTailShare) ? kTailFactor : 1;
  if (this->DrawWithProbability(kPauseShare)) {
    std::uniform_real_distribution<double> pause_ms(0, kPauseMs);
    attempt.latency_ms += pause_ms(this->random);
  }
  attempt.latency_ms += 2;
  this->ApplyCandidateFault(attempt);
  this->ApplyTargetFault(attempt);
  return attempt;
}

void RolloutSimulation::Send(Host& host, bool is_short_route, bool is_retry) {
  const VersionSplit split = host.sampler->Splits(this->now).at(kService);
  const bool is_warm =
      this->now - kOrderedAt >= this->options.candidate_warm_after;
  const bool is_candidate = !split.allows_stable ||
                            (!is_retry && is_warm &&
                             this->DrawWithProbability(split.candidate_share));
  const Attempt attempt = this->MakeAttempt(is_candidate, is_short_route);
  const SampledAttempt sampled =
      host.sampler->OnSent(kService, is_candidate ? kCandidate : kStable);
  if (!this->IsPastDeadline()) {
    ++this->result.sent;
    this->result.sent_to_candidate += is_candidate ? 1 : 0;
  }
  if (is_candidate) {
    this->last_sent_to_candidate_at = this->now;
  } else {
    ++this->stable_in_flight;
    const bool is_after_end =
        this->is_agreed && this->result.state == RolloutState::kCompleted;
    this->result.stable_attempts_after_end +=
        is_after_end && !host.is_isolated ? 1 : 0;
  }
  this->ScheduleAt(this->now + Milliseconds(attempt.latency_ms),
                   [this, &host, sampled, attempt] {
                     this->EndAttempt(host, sampled, attempt);
                   });
}

void RolloutSimulation::EndAttempt(Host& host,
                                   const SampledAttempt& sampled,
                                   const Attempt& attempt) {
  const std::string version = attempt.is_candidate ? "new" : "old";
  const TargetId target(version + std::to_string(attempt.target));
  const char* const route = attempt.is_short_route ? "short" : "long";
  this->stable_in_flight -= attempt.is_candidate ? 0 : 1;
  if (attempt.is_bad && ++this->result.bad_answers == kRollbackBadAnswers) {
    this->fiftieth_bad_at = this->now;
  }
  if (!attempt.fails) {
    host.sampler->OnAnswered(sampled, target, route,
                             Milliseconds(attempt.latency_ms));
    return;
  }
  host.sampler->OnFailed(sampled, target, route);
  this->ScheduleAt(
      this->now + Milliseconds(kRetryDelayMs), [this, &host, attempt] {
        this->Send(host, attempt.is_short_route, /*is_retry=*/true);
      });
}

void RolloutSimulation::SendReport(Host& host) {
  const TimePoint sent_at = this->now;
  const RolloutReport report = host.sampler->MakeReport(kOwner, sent_at);
  std::uniform_real_distribution<double> delay_ms(2, 30);
  if (host.is_isolated ||
      this->DrawWithProbability(this->options.lost_report_share)) {
    this->ScheduleAt(sent_at + milliseconds(500),
                     [this, &host] { this->SendReport(host); });
    return;
  }
  this->ScheduleAt(
      sent_at + Milliseconds(delay_ms(this->random)),
      [this, &host, report, sent_at] {
        for (const RolloutProgress& progress : report.rollouts) {
          this->controller.OnReport(host.id, report.epoch, progress,
                                    /*is_repeated=*/false, this->now);
        }
        const RolloutReportReply reply{
            .directives = {this->controller.directive()}};
        const Duration next = this->controller.ReportInterval(this->now);
        this->ScheduleAt(
            this->now + milliseconds(2), [this, &host, reply, sent_at, next] {
              host.sampler->OnReportReply(kOwner, reply, sent_at);
              this->ScheduleAt(this->now + next,
                               [this, &host] { this->SendReport(host); });
            });
      });
}

void RolloutSimulation::AgreeOnEnd() {
  this->is_agreeing = true;
  this->record.state = this->controller.decision()->state;
  this->ScheduleAt(this->now + milliseconds(20), [this] {
    this->is_agreed = true;
    this->result.state = this->record.state;
    this->result.cause = this->controller.decision()->cause;
    this->result.ended_after = this->now - kOrderedAt;
    if (this->result.state == RolloutState::kCompleted) {
      this->result.stable_attempts_after_end += this->stable_in_flight;
    }
  });
  this->ScheduleAt(this->now + kPropagationDelay, [this] {
    for (Host& host : this->hosts) {
      if (!host.is_isolated) {
        host.sampler->SetRollouts(std::vector{this->record});
      }
    }
  });
}

void RolloutSimulation::Tick() {
  const size_t slots = this->options.targets * 4;
  const bool is_warm =
      this->now - kOrderedAt >= this->options.candidate_warm_after;
  this->controller.Tick({.entry_hosts = this->host_ids,
                         .candidate_slots = is_warm ? slots : 0,
                         .stable_slots = slots},
                        this->now);
  if (this->controller.decision() && !this->is_agreeing) {
    this->AgreeOnEnd();
  }
  this->ScheduleAt(this->now + kTickInterval, [this] { this->Tick(); });
}

RolloutSimulationResult RolloutSimulation::Run() {
  this->candidate_arrivals.resize(this->options.targets);
  this->hosts.resize(this->options.hosts);
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    Host& host = this->hosts[i];
    host.id = HostId("e" + std::to_string(i));
    host.sampler = std::make_unique<AnswerSampler>(
        AnswerSamplerOptions{.host = host.id, .epoch = 1});
    host.sampler->SetRollouts(std::vector{this->record});
    this->host_ids.push_back(host.id);
    this->ScheduleAt(kOrderedAt + milliseconds(10 + 3 * (i % 80)),
                     [this, &host] { this->SendReport(host); });
    if (i < this->options.isolated_hosts) {
      this->ScheduleAt(kOrderedAt + this->options.duration / 2,
                       [&host] { host.is_isolated = true; });
    }
  }
  this->ScheduleAt(kOrderedAt, [this] { this->StartRequest(); });
  this->ScheduleAt(kOrderedAt + milliseconds(50), [this] { this->Tick(); });
  if (this->options.owner_replaced_after > Duration::zero()) {
    this->ScheduleAt(kOrderedAt + this->options.owner_replaced_after, [this] {
      if (!this->is_agreeing) {
        this->controller = this->MakeController();
      }
    });
  }
  const TimePoint end_at =
      kOrderedAt + this->options.duration + kTimeAfterDeadline;
  while (!this->events.empty() && this->events.top().at < end_at) {
    const Event next = this->events.top();
    this->events.pop();
    this->now = next.at;
    next.action();
  }
  this->result.exposure_limit =
      kExposureBound.share * static_cast<double>(this->result.sent) +
      kExposureBound.slack;
  if (this->result.bad_answers >= kRollbackBadAnswers) {
    this->result.last_sent_after_50th_bad_s =
        Seconds(this->last_sent_to_candidate_at - this->fiftieth_bad_at);
  }
  return this->result;
}

}  // namespace

RolloutSimulationResult RunRolloutSimulation(
    const RolloutSimulationOptions& options) {
  return RolloutSimulation(options).Run();
}

}  // namespace knapweedroad
