#include "bench/admission/admission_world.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <variant>

namespace knapweedroad::bench {
namespace {

using namespace std::chrono_literals;

constexpr Duration kHop = 500us;
constexpr Duration kDeadline = 200ms;
constexpr Duration kReportInterval = 1s;
constexpr Duration kTroubleAt = 5s;
constexpr uint32_t kMaxTries = 3;
constexpr double kStragglers = 0.01;
constexpr int kStragglerFactor = 10;

}  // namespace

AdmissionWorld::AdmissionWorld(const WorldOptions& options)
    : options(options),
      random(options.seed),
      target(this->events, {.slots = options.slots}),
      planned(options.hosts, TimePoint::max()) {
  std::vector<HostId> names;
  for (uint32_t i = 0; i < options.hosts; ++i) {
    names.emplace_back("h" + std::to_string(i));
  }
  for (const HostId& name : names) {
    TargetAdmission::Options admission{
        .slots = options.slots, .cold_slots = 1, .max_connections = 25};
    admission.usable_time_fraction = options.planned_part;
    admission.use_adaptive_limit =
        options.mode == AdmissionMode::kDirectAdaptive;
    this->admissions.push_back(std::make_unique<TargetAdmission>(admission));
    TargetShare share{.slots = options.slots};
    if (options.mode == AdmissionMode::kSplitSlots) {
      share = SplitShare(TargetId("t"), name, names, options.slots);
      share.slots =
          std::max<uint32_t>(share.slots, options.at_least_one ? 1 : 0);
    }
    this->admissions.back()->SetShare(share, this->events.now());
  }
}

WorldResult AdmissionWorld::Run() {
  this->ScheduleArrival();
  this->Report();
  if (this->options.outlier == Trouble::kRestart) {
    this->events.Post(kTroubleAt, [this] { this->target.Restart(); });
  }
  if (this->options.outlier == Trouble::kFallCold) {
    this->events.Post(kTroubleAt, [this] { this->target.FallCold(); });
  }
  this->events.Run();
  this->result.target = this->target.counts();
  return std::move(this->result);
}

uint32_t AdmissionWorld::AdmittingHost(uint32_t host) const {
  return this->options.mode == AdmissionMode::kLease ? 0 : host;
}

// The way between the host that was asked and the one that admits.
Duration AdmissionWorld::HopOf(uint32_t host) const {
  return this->AdmittingHost(host) == host ? Duration::zero() : kHop;
}

double AdmissionWorld::Uniform() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
}

Duration AdmissionWorld::ServiceTime() {
  const double ms = 15.0 - 5.0 * std::log(1.0 - this->Uniform());
  const int factor = this->Uniform() < kStragglers ? kStragglerFactor : 1;
  return Duration(static_cast<int64_t>(ms * 1e6)) * factor;
}

void AdmissionWorld::ScheduleArrival() {
  const double gap = -std::log(1.0 - this->Uniform()) / this->options.rate;
  this->events.Post(Duration(static_cast<int64_t>(gap * 1e9)), [this] {
    const TimePoint now = this->events.now();
    if (now.time_since_epoch() >= this->options.length) {
      return;
    }
    const uint64_t id = ++this->next_request;
    const auto host =
        static_cast<uint32_t>(this->random() % this->options.hosts);
    this->requests[id] = {.host = host,
                          .arrived = now,
                          .deadline = now + kDeadline,
                          .service_time = this->ServiceTime()};
    ++this->result.offered;
    this->events.Post(this->HopOf(host), [this, id] { this->Submit(id); });
    this->ScheduleArrival();
  });
}

void AdmissionWorld::Submit(uint64_t id) {
  Request& request = this->requests.at(id);
  ++request.tries;
  const uint32_t host = this->AdmittingHost(request.host);
  this->Perform(host,
                this->admissions[host]->Submit({.attempt = std::to_string(id),
                                                .tenant = TenantId("t"),
                                                .request_class = "normal",
                                                .deadline = request.deadline},
                                               this->events.now()));
}

void AdmissionWorld::Perform(uint32_t host, const AdmissionActions& actions) {
  for (const AdmissionAction& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      this->Start(host, std::stoull(start->attempt));
    } else if (const auto* refuse = std::get_if<RefuseAttempt>(&action)) {
      this->Refuse(std::stoull(refuse->attempt));
    } else {
      const auto id = std::stoull(std::get<CancelRunning>(action).attempt);
      this->events.Post(kHop, [this, id] { this->target.Cancel(id); });
    }
  }
  this->PlanTick(host);
}

void AdmissionWorld::Start(uint32_t host, uint64_t id) {
  Request& request = this->requests.at(id);
  request.sent = this->events.now();
  const Duration service_time = request.service_time;
  const TimePoint sent = request.sent;
  this->events.Post(kHop, [=, this] {
    this->target.Arrive({.attempt = id,
                         .sent = sent,
                         .service_time = service_time,
                         .done = [this, host, id](AttemptStatus status) {
                           this->events.Post(kHop, [this, host, id, status] {
                             this->OnEnd(host, id, status);
                           });
                         }});
  });
  const uint32_t tries = request.tries;
  this->events.PostAt(request.deadline, [this, host, id, tries] {
    const auto found = this->requests.find(id);
    if (found != this->requests.end() && found->second.tries == tries) {
      this->OnDeadline(host, id);
    }
  });
}

void AdmissionWorld::Refuse(uint64_t id) {
  const bool retried = this->requests.at(id).tries > 1;
  ++(retried ? this->result.failed : this->result.refused);
  this->requests.erase(id);
}

void AdmissionWorld::OnEnd(uint32_t host, uint64_t id, AttemptStatus status) {
  const TimePoint now = this->events.now();
  const auto found = this->requests.find(id);
  const Duration latency =
      found == this->requests.end() ? Duration{} : now - found->second.sent;
  this->Perform(host, this->admissions[host]->OnFinished(
                          std::to_string(id),
                          {.status = status, .latency = latency}, now));
  const bool sign = status == AttemptStatus::kShed ||
                    status == AttemptStatus::kConnectFailed ||
                    status == AttemptStatus::kConnectionLost;
  if (sign) {
    this->target.NoteEvidence();
  }
  this->result.sheds += status == AttemptStatus::kShed ? 1 : 0;
  if (found == this->requests.end()) {
    return;
  }
  Request& request = found->second;
  const Duration hop = this->HopOf(request.host);
  const bool not_run =
      status == AttemptStatus::kShed || status == AttemptStatus::kConnectFailed;
  if (status == AttemptStatus::kOk && now + hop <= request.deadline) {
    ++this->result.good;
    this->result.waits.push_back(now + hop - request.arrived -
                                 request.service_time);
  } else if (not_run && request.tries < kMaxTries && now < request.deadline) {
    this->Submit(id);
    return;
  } else {
    ++this->result.failed;
  }
  this->requests.erase(id);
}

void AdmissionWorld::OnDeadline(uint32_t host, uint64_t id) {
  ++this->result.failed;
  this->requests.erase(id);
  this->Perform(host,
                this->admissions[host]->OnFinished(
                    std::to_string(id), {.status = AttemptStatus::kTimeout},
                    this->events.now()));
}

void AdmissionWorld::PlanTick(uint32_t host) {
  const TimePoint wake = this->admissions[host]->NextWake();
  if (wake >= this->planned[host]) {
    return;
  }
  this->planned[host] = wake;
  this->events.PostAt(std::max(wake, this->events.now()), [this, host] {
    this->planned[host] = TimePoint::max();
    this->Perform(host, this->admissions[host]->Tick(this->events.now()));
  });
}

// Each second the target reports what it is; each host hears of it up to a
// second later.
void AdmissionWorld::Report() {
  if (this->events.now().time_since_epoch() >= this->options.length) {
    return;
  }
  if (this->target.up()) {
    const TargetReport report{.target = TargetId("t"),
                              .incarnation = this->target.incarnation(),
                              .sequence = ++this->reports,
                              .state = this->target.cold()
                                           ? TargetState::kCold
                                           : TargetState::kReady};
    for (uint32_t host = 0; host < this->options.hosts; ++host) {
      const auto lag = Duration(static_cast<int64_t>(this->Uniform() * 1e9));
      this->events.Post(lag, [this, host, report] {
        const bool sends = this->AdmittingHost(host) == host;
        if (sends && report.state == TargetState::kCold) {
          this->target.NoteEvidence();
        }
        this->Perform(
            host, this->admissions[host]->OnReport(report, this->events.now()));
      });
    }
  }
  this->events.Post(kReportInterval, [this] { this->Report(); });
}

}  // namespace knapweedroad::bench
