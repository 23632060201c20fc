#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bench/capacity/experiments.h"
#include "bench/capacity/query_world.h"
#include "bench/capacity/recorder.h"
#include "bench/capacity/sample.h"
#include "knapweedroad/admission/target_admission.h"
#include "knapweedroad/host/configuration_keeper.h"
#include "knapweedroad/membership/heartbeat.h"
#include "knapweedroad/membership/holder_directory.h"
#include "knapweedroad/membership/host_view.h"
#include "knapweedroad/membership/target_directory.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr int kCounts[] = {500, 1000, 2000};
constexpr int kFanOuts[] = {10, 100, 500, 1500};
constexpr int kFronts[] = {5, 20, 80};
constexpr TimePoint kNow(1h);

// What `make` leaves on the heap while its result lives.
template <typename Make>
double HeapOf(const Make& make) {
  const double before = HeapBytes();
  const auto kept = make();
  return HeapBytes() - before;
}

std::unique_ptr<TargetDirectory> Directory(int count) {
  auto directory =
      std::make_unique<TargetDirectory>(TargetDirectory::Options{});
  for (int number = 0; number < count; ++number) {
    directory->OnReport(SampleReport(number), kNow);
  }
  return directory;
}

std::unique_ptr<HolderDirectory> Holders(int count) {
  auto holders = std::make_unique<HolderDirectory>(HolderDirectory::Options{});
  Heartbeat beat{.host = HostId("brussel-a-1")};
  for (int number = 0; number < count; ++number) {
    beat.held_targets.push_back(SampleHeld(number));
  }
  holders->OnHeartbeat(beat, kNow);
  return holders;
}

std::unique_ptr<HostView> Hosts(int count) {
  const std::vector<PeerSettings> hosts = SampleHosts(count);
  return std::make_unique<HostView>(
      HostView::Options{.self = hosts[0].name, .hosts = hosts});
}

std::vector<std::unique_ptr<TargetAdmission>> Admissions(int count) {
  std::vector<std::unique_ptr<TargetAdmission>> all;
  for (int number = 0; number < count; ++number) {
    all.push_back(std::make_unique<TargetAdmission>(
        TargetAdmission::Options{.slots = 2, .max_connections = 25}));
    all.back()->SetShare({.slots = 2}, kNow);
    all.back()->OnReport(SampleReport(number), kNow);
  }
  return all;
}

double HeapOfQuery(int fan_out) {
  QueryWorld world(fan_out);
  world.RunQuery();
  return HeapOf([&] {
    std::vector<SendAttempt> sends;
    auto run = std::make_unique<QueryRun>(world.Start(sends));
    return run;
  });
}

}  // namespace

void MeasureMemory(Recorder& recorder) {
  for (const int count : kCounts) {
    recorder.Add({"directory_target", "heap_bytes", "targets"}, count,
                 HeapOf([&] { return Directory(count); }));
    recorder.Add({"holder_claim", "heap_bytes", "targets"}, count,
                 HeapOf([&] { return Holders(count); }));
    recorder.Add({"host_view", "heap_bytes", "hosts"}, count,
                 HeapOf([&] { return Hosts(count); }));
    recorder.Add({"admission", "heap_bytes", "targets"}, count,
                 HeapOf([&] { return Admissions(count); }));
  }
  for (const int fan_out : kFanOuts) {
    recorder.Add({"query_in_flight", "heap_bytes", "fan_out"}, fan_out,
                 HeapOfQuery(fan_out));
  }
  for (const int fronts : kFronts) {
    const std::string text = SampleDeployment(fronts, false);
    recorder.Add({"configuration", "heap_bytes", "fronts"}, fronts, HeapOf([&] {
                   auto keeper = std::make_unique<ConfigurationKeeper>();
                   static_cast<void>(keeper->Offer(1, text, kNow));
                   return keeper;
                 }));
  }
}

}  // namespace knapweedroad
