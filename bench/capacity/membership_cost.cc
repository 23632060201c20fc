#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bench/capacity/experiments.h"
#include "bench/capacity/recorder.h"
#include "bench/capacity/sample.h"
#include "knapweedroad/admission/zone_leases.h"
#include "knapweedroad/host/report_json.h"
#include "knapweedroad/membership/heartbeat.h"
#include "knapweedroad/membership/holder_directory.h"
#include "knapweedroad/membership/host_view.h"
#include "knapweedroad/membership/target_directory.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;
using LeaseMessage = std::variant<LeaseRequest, LeaseReply>;

constexpr int kLeaseHosts[] = {5, 10, 20, 40, 80};
constexpr int kLeaseTargets[] = {50, 100, 200, 400};
// Whole zones with as many targets a host as at the size to design for.
constexpr int kZoneHosts[] = {20, 40, 80};
constexpr int kTargetsAHundredHosts = 455;
constexpr int kHostsOfTargetSeries = 9;
constexpr int kTargetsOfHostSeries = 100;
constexpr Duration kLeaseTick = 25ms;
constexpr Duration kLeaseWarmUp = 8s;
constexpr int kLeaseSeconds = 3;
constexpr int kHeldCounts[] = {0, 5, 50, 200};
constexpr int kReportCounts[] = {0, 10, 50, 100};
constexpr int kBeats = 200;
constexpr int kAnnouncements[] = {1000, 2000, 4000};
constexpr int kDirectorySizes[] = {100, 1000, 4000, 9000};
constexpr int kPassedOn = 200;
constexpr int kRuns = 5;

// All hosts of one zone, with messages that arrive at once.
class LeaseZone {
 public:
  LeaseZone(int host_count, int target_count) {
    const std::vector<PeerSettings> settings = SampleHosts(host_count);
    for (const PeerSettings& host : settings) {
      this->names.push_back(host.name);
      this->hosts.emplace(
          host.name,
          ZoneLeases({.self = host.name,
                      .zone = host.zone,
                      .hosts = settings,
                      .incarnation = 1,
                      .started = this->now,
                      .timing = {.length = 1500ms, .max_work_time = 3s}}));
    }
    for (int number = 0; number < target_count; ++number) {
      this->targets.push_back({.target = TargetId(SampleTargetName(number)),
                               .slots = 2,
                               .work_time = 1s});
    }
  }

  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      for (auto& [name, leases] : this->hosts) {
        this->Tick(name, leases);
      }
      this->Deliver();
      this->now += kLeaseTick;
    }
  }

  // What one host took and sent.
  struct Usage {
    double cpu = 0;
    double bytes = 0;
  };

  // The most of any host.
  Usage Busiest() const {
    Usage most;
    for (const auto& [name, usage] : this->usages) {
      most.cpu = std::max(most.cpu, usage.cpu);
      most.bytes = std::max(most.bytes, usage.bytes);
    }
    return most;
  }

  void ClearCounts() {
    this->bytes = 0;
    this->messages = 0;
    this->usages.clear();
  }

  size_t Held() const {
    size_t held = 0;
    for (const auto& [name, leases] : this->hosts) {
      held += leases.HeldTargetIds().size();
    }
    return held;
  }

  size_t bytes = 0;
  size_t messages = 0;

 private:
  struct Mail {
    HostId to;
    std::string text;
  };

  void Send(const HostId& from, const HostId& to, const LeaseMessage& message) {
    this->mail.push_back({to, EncodeBytes(message)});
    const size_t size = this->mail.back().text.size();
    this->bytes += size;
    ++this->messages;
    this->usages[from].bytes += static_cast<double>(size);
    this->usages[to].bytes += static_cast<double>(size);
  }

  void Post(const HostId& from, const ZoneLeases::Actions& actions) {
    for (const auto& message : actions.requests) {
      this->Send(from, message.to, message.request);
    }
    for (const auto& reply : actions.replies) {
      this->Send(from, reply.to, reply.reply);
    }
  }

  void Deliver() {
    while (!this->mail.empty()) {
      const Mail letter = std::move(this->mail.front());
      this->mail.pop_front();
      const double start = CpuNow();
      this->Hear(letter);
      this->usages[letter.to].cpu += CpuNow() - start;
    }
  }

  void Hear(const Mail& letter) {
    const auto message = DecodeBytes<LeaseMessage>(letter.text);
    ZoneLeases& leases = this->hosts.at(letter.to);
    if (const auto* request = std::get_if<LeaseRequest>(&*message)) {
      this->Post(letter.to, leases.OnRequest(*request, this->now));
    } else {
      this->Post(letter.to,
                 leases.OnReply(std::get<LeaseReply>(*message), this->now));
    }
  }

  void Tick(const HostId& name, ZoneLeases& leases) {
    const double start = CpuNow();
    leases.SetTargets(this->targets, this->now);
    leases.SetEligibleHosts(this->names, this->now);
    this->Post(name, leases.Tick(this->now));
    this->usages[name].cpu += CpuNow() - start;
  }

  TimePoint now{1h};
  std::vector<HostId> names;
  std::vector<LeaseTarget> targets;
  std::map<HostId, ZoneLeases> hosts;
  std::map<HostId, Usage> usages;
  std::deque<Mail> mail;
};

// The whole zone's cost for each second of steady renewals.
void MeasureZone(Recorder& recorder,
                 const std::string& by,
                 int hosts,
                 int targets,
                 int size) {
  LeaseZone zone(hosts, targets);
  zone.RunFor(kLeaseWarmUp);
  zone.ClearCounts();
  const double start = CpuNow();
  zone.RunFor(std::chrono::seconds(kLeaseSeconds));
  const double cpu = CpuNow() - start;
  recorder.Add({"lease", "cpu_us_per_second", by}, size, cpu / kLeaseSeconds);
  recorder.Add({"lease", "bytes_per_second", by}, size,
               static_cast<double>(zone.bytes) / kLeaseSeconds);
  recorder.Add({"lease", "messages_per_second", by}, size,
               static_cast<double>(zone.messages) / kLeaseSeconds);
  recorder.Add({"lease", "busiest_cpu_us_per_second", by}, size,
               zone.Busiest().cpu / kLeaseSeconds);
  recorder.Add({"lease", "busiest_bytes_per_second", by}, size,
               zone.Busiest().bytes / kLeaseSeconds);
  recorder.Add({"lease", "held", by}, size, static_cast<double>(zone.Held()));
}

void MeasureLeases(Recorder& recorder) {
  for (const int targets : kLeaseTargets) {
    MeasureZone(recorder, "targets", kHostsOfTargetSeries, targets, targets);
  }
  for (const int hosts : kLeaseHosts) {
    MeasureZone(recorder, "hosts", hosts, kTargetsOfHostSeries, hosts);
  }
  for (const int hosts : kZoneHosts) {
    MeasureZone(recorder, "zone_hosts", hosts,
                hosts * kTargetsAHundredHosts / 100, hosts);
  }
}

Heartbeat MakeBeat(int held, int reports) {
  Heartbeat beat{.host = HostId("brussel-a-1"),
                 .zone = ZoneId("brussel-a"),
                 .incarnation = 1,
                 .configuration_version = 8,
                 .can_hold_leases = true};
  for (int number = 0; number < held; ++number) {
    beat.held_targets.push_back(SampleHeld(number));
  }
  for (int number = 0; number < reports; ++number) {
    beat.reports.push_back({SampleReport(number), 100ms});
  }
  return beat;
}

double SendCost(Heartbeat& beat) {
  size_t bytes = 0;
  const double all = CpuMicroseconds([&] {
    for (int number = 0; number < kBeats; ++number) {
      bytes += EncodeBytes(beat).size();
    }
  });
  return bytes == 0 ? 0 : all / kBeats;
}

// Heartbeats one after the other, with news in each.
std::vector<std::string> BeatTexts(Heartbeat& beat) {
  std::vector<std::string> texts;
  for (int number = 0; number < kBeats; ++number) {
    ++beat.sequence;
    for (RelayedReport& aged : beat.reports) {
      ++aged.report.sequence;
    }
    texts.push_back(EncodeBytes(beat));
  }
  return texts;
}

double HearCost(Heartbeat& beat) {
  const std::vector<PeerSettings> hosts = SampleHosts(9);
  HostView view({.self = hosts[0].name, .hosts = hosts});
  HolderDirectory holders({});
  TargetDirectory directory({});
  const TimePoint now(1h);
  double least = 0;
  for (int run = 0; run < kRuns; ++run) {
    const std::vector<std::string> texts = BeatTexts(beat);
    const double start = CpuNow();
    for (const std::string& text : texts) {
      const auto heard = DecodeBytes<Heartbeat>(text);
      view.OnHeartbeat(*heard, now);
      holders.OnHeartbeat(*heard, now);
      for (const RelayedReport& aged : heard->reports) {
        directory.OnRelayedReport(aged, now);
      }
    }
    const double took = CpuNow() - start;
    least = run == 0 || took < least ? took : least;
  }
  return least / kBeats;
}

void MeasureHeartbeats(Recorder& recorder,
                       const std::string& by,
                       int held,
                       int reports,
                       int size) {
  Heartbeat beat = MakeBeat(held, reports);
  recorder.Add({"heartbeat", "bytes", by}, size,
               static_cast<double>(EncodeBytes(beat).size()));
  recorder.Add({"heartbeat", "send_cpu_us", by}, size, SendCost(beat));
  recorder.Add({"heartbeat", "hear_cpu_us", by}, size, HearCost(beat));
}

std::string AnnouncementText(int number) {
  return R"({"target": ")" + SampleTargetName(number % 50) +
         R"(", "front": "front-1", "service": "front-1-)" +
         std::to_string(number % 50) +
         R"(", "zone": "brussel-a", "address": "10.20.30.40:9001",)"
         R"( "incarnation": 12, "sequence": )" +
         std::to_string(number) +
         R"(, "state": "ready", "holds": ["1.16", "1.17"],)"
         R"( "in_flight": 1, "queued": 0})";
}

void MeasureAnnouncements(Recorder& recorder) {
  for (const int count : kAnnouncements) {
    std::vector<std::string> texts;
    size_t bytes = 0;
    for (int number = 0; number < count; ++number) {
      texts.push_back(AnnouncementText(number));
      bytes += texts.back().size();
    }
    const double cpu = CpuMicroseconds([&] {
      TargetDirectory directory({});
      for (const std::string& text : texts) {
        directory.OnReport(*ReadReportJson(text), TimePoint(1h));
      }
    });
    recorder.Add({"announcement", "cpu_us", "announcements"}, count, cpu);
    recorder.Add({"announcement", "bytes", "announcements"}, count,
                 static_cast<double>(bytes));
  }
}

// One report that was passed on, by how many targets are known already.
void MeasureDirectory(Recorder& recorder) {
  for (const int size : kDirectorySizes) {
    TargetDirectory directory({});
    for (int number = 0; number < size; ++number) {
      directory.OnReport(SampleReport(number), TimePoint(1h));
    }
    TargetReport report = SampleReport(1);
    const double cpu = CpuMicroseconds([&] {
      for (int number = 0; number < kPassedOn; ++number) {
        ++report.sequence;
        directory.OnRelayedReport({report, 100ms}, TimePoint(1h));
      }
    });
    recorder.Add({"directory_report", "cpu_us", "targets"}, size,
                 cpu / kPassedOn);
  }
}

}  // namespace

void MeasureMembership(Recorder& recorder) {
  MeasureLeases(recorder);
  for (const int held : kHeldCounts) {
    MeasureHeartbeats(recorder, "held", held, 0, held);
  }
  for (const int reports : kReportCounts) {
    MeasureHeartbeats(recorder, "reports", 0, reports, reports);
  }
  MeasureAnnouncements(recorder);
  MeasureDirectory(recorder);
}

}  // namespace knapweedroad
