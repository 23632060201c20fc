// What many roll-outs at once cost their owner and each entry host: processor
// time and bytes of reports and directives, without a network.
//
//   rollout_cost [ROLLOUTS [ENTRY_HOSTS]]

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "knapweedroad/rollout/answer_sampler.h"
#include "knapweedroad/rollout/rollout_controller.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kDefaultRollouts = 54;
constexpr size_t kDefaultHosts = 66;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kTick = milliseconds(100);
constexpr Duration kRollout = seconds(12);
// Questions of one entry host, each to every service.
constexpr double kQuestionsASecond = 1.5;
constexpr Duration kLatency = milliseconds(12);
constexpr size_t kTargets = 3;
const TimePoint kStart{seconds(1000)};
const HostId kOwner("owner");

double ProcessorSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e9;
}

// Adds the processor time of its scope.
class Timed {
 public:
  explicit Timed(double& sum) : sum(sum), from(ProcessorSeconds()) {}
  ~Timed() { this->sum += ProcessorSeconds() - this->from; }

 private:
  double& sum;
  double from;
};

struct Costs {
  double owner = 0;
  double hosts = 0;
  uint64_t reports = 0;
  uint64_t report_bytes = 0;
  uint64_t reply_bytes = 0;
};

class ManyRollouts {
 public:
  ManyRollouts(size_t rollouts, size_t hosts) {
    std::vector<RolloutRecord> records;
    for (size_t i = 0; i < rollouts; ++i) {
      records.push_back({.service = ServiceId("s" + std::to_string(i)),
                         .number = 1,
                         .stable = VersionId("v1"),
                         .candidate = VersionId("v2"),
                         .duration_ms = kRollout / milliseconds(1),
                         .owner = kOwner});
      this->controllers.emplace(
          records.back().service,
          RolloutController({.record = records.back(),
                             .ordered_at = kStart,
                             .deadline = kStart + kRollout},
                            kStart));
    }
    for (size_t i = 0; i < hosts; ++i) {
      this->names.emplace_back("entry" + std::to_string(i));
      this->samplers.push_back(std::make_unique<AnswerSampler>(
          AnswerSamplerOptions{.host = this->names.back(), .epoch = i + 1}));
      this->samplers.back()->SetRollouts(records);
    }
    this->due.assign(hosts, kStart);
  }

  Costs Run() {
    TimePoint tick = kStart;
    for (TimePoint now = kStart; now < kStart + kRollout; now += kStep) {
      for (size_t host = 0; host < this->names.size(); ++host) {
        this->Ask(host);
        if (now >= this->due[host]) {
          this->Report(host, now);
        }
      }
      if (now >= tick) {
        tick += kTick;
        this->Tick(now);
      }
    }
    return this->costs;
  }

 private:
  void Ask(size_t host) {
    std::uniform_real_distribution<double> lot(0, 1);
    const double seconds_a_step = std::chrono::duration<double>(kStep).count();
    if (lot(this->random) >= kQuestionsASecond * seconds_a_step) {
      return;
    }
    const Timed timed(this->costs.hosts);
    AnswerSampler& sampler = *this->samplers[host];
    for (const auto& [service, controller] : this->controllers) {
      const bool tries_candidate =
          lot(this->random) * 1000 < controller.directive().candidate_permille;
      const VersionId version(tries_candidate ? "v2" : "v1");
      const TargetId target(service.str() + version.str() +
                            std::to_string(this->random() % kTargets));
      sampler.OnAnswered(sampler.OnSent(service, version), target, "route",
                         kLatency);
    }
  }

  void Report(size_t host, TimePoint now) {
    std::string report;
    {
      const Timed timed(this->costs.hosts);
      report = EncodePacked(this->samplers[host]->MakeReport(kOwner, now));
    }
    const std::string reply = this->Answer(report, now);
    const Timed timed(this->costs.hosts);
    const auto read = DecodePacked<RolloutReportReply>(reply);
    this->samplers[host]->OnReportReply(kOwner, *read, now);
    this->samplers[host]->Splits(now);
    this->due[host] = now + milliseconds(read->next_ms);
    ++this->costs.reports;
    this->costs.report_bytes += report.size();
    this->costs.reply_bytes += reply.size();
  }

  std::string Answer(const std::string& bytes, TimePoint now) {
    const Timed timed(this->costs.owner);
    const auto report = DecodePacked<RolloutReport>(bytes);
    RolloutReportReply reply;
    Duration next = seconds(1);
    for (const RolloutProgress& progress : report->rollouts) {
      RolloutController& controller = this->controllers.at(progress.service);
      controller.OnReport(report->host, report->epoch, progress,
                          /*is_repeated=*/false, now);
      reply.directives.push_back(controller.directive());
      next = std::min(next, controller.ReportInterval(now));
    }
    reply.next_ms = next / milliseconds(1);
    return EncodePacked(reply);
  }

  void Tick(TimePoint now) {
    const Timed timed(this->costs.owner);
    for (auto& [service, controller] : this->controllers) {
      controller.Tick({.entry_hosts = this->names,
                       .candidate_slots = 12,
                       .stable_slots = 12},
                      now);
    }
  }

  std::map<ServiceId, RolloutController> controllers;
  std::vector<HostId> names;
  std::vector<std::unique_ptr<AnswerSampler>> samplers;
  std::vector<TimePoint> due;
  std::mt19937 random{1};
  Costs costs;
};

void Print(size_t rollouts, size_t hosts) {
  const Costs costs = ManyRollouts(rollouts, hosts).Run();
  const double length = std::chrono::duration<double>(kRollout).count();
  const auto reports = static_cast<double>(costs.reports);
  std::printf(
      "%zu roll-outs, %zu entry hosts: %.1f reports a second and host, %.0f "
      "and %.0f bytes; owner %.2f%% of a core, entry host %.3f%%\n",
      rollouts, hosts, reports / length / static_cast<double>(hosts),
      static_cast<double>(costs.report_bytes) / reports,
      static_cast<double>(costs.reply_bytes) / reports,
      100 * costs.owner / length,
      100 * costs.hosts / length / static_cast<double>(hosts));
}

}  // namespace
}  // namespace knapweedroad

int main(int argc, char** argv) {
  const size_t rollouts = argc > 1 ? std::strtoul(argv[1], nullptr, 10)
                                   : knapweedroad::kDefaultRollouts;
  const size_t hosts = argc > 2 ? std::strtoul(argv[2], nullptr, 10)
                                : knapweedroad::kDefaultHosts;
  knapweedroad::Print(rollouts, hosts);
  return 0;
}
