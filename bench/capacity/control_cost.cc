#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

#include "bench/capacity/experiments.h"
#include "bench/capacity/recorder.h"
#include "bench/capacity/sample.h"
#include "knapweedroad/control/acceptor_record.h"
#include "knapweedroad/storage/record_store.h"

namespace knapweedroad {
namespace {

constexpr int kChanges[] = {400, 800, 1600, 3200};
// So few that the store keeps to its first file.
constexpr int kFewChanges[] = {20, 40, 80};
constexpr int kFronts[] = {5, 20, 80};
constexpr int kFrontsOfChangeSeries = 5;
constexpr int kChangesOfFrontSeries = 50;
constexpr int kRuns = 3;

struct Cost {
  double change_cpu = 0;
  double change_bytes = 0;
  double restart_cpu = 0;
  double restart_records = 0;
};

AcceptorRecord MakeRecord(int fronts) {
  AcceptorRecord record{
      .self = {.host = HostId("brussel-a-0"), .incarnation = 1},
      .value = ControlValue{.configuration = SampleDeployment(fronts, false)}};
  for (const char* host : {"brussel-a-0", "leuven-0", "mechelen-0"}) {
    record.value->members.current.push_back({HostId(host), 1});
  }
  return record;
}

// One replica's writes, a promise and an acceptance for each change, and then
// its start from that folder.
Cost RunChanges(const std::string& folder, int changes, int fronts) {
  std::filesystem::remove_all(folder);
  AcceptorRecord record = MakeRecord(fronts);
  const RecordStoreOptions options{.folder = folder, .snapshot = [&] {
                                     return EncodeAcceptorRecord(record);
                                   }};
  Cost cost;
  {
    auto store = RecordStore::Open(options, [](std::string_view) {});
    if (!store) {
      std::fputs("the folder can't be used\n", stderr);
      return cost;
    }
    const double start = CpuNow();
    for (int change = 1; change <= changes; ++change) {
      const auto round = static_cast<uint64_t>(change);
      record.promised = record.accepted = {.round = round, .proposer = 1};
      record.value->version = record.value->revision = round;
      const AcceptorRecord promise{.self = record.self,
                                   .promised = record.promised};
      static_cast<void>((*store)->Append(EncodeAcceptorRecord(record)));
      static_cast<void>((*store)->Append(EncodeAcceptorRecord(promise)));
    }
    cost.change_cpu = CpuNow() - start;
    cost.change_bytes = static_cast<double>((*store)->stats().bytes_written);
  }
  const double start = CpuNow();
  size_t read = 0;
  auto again = RecordStore::Open(options, [&](std::string_view bytes) {
    read += DecodeAcceptorRecord(bytes) ? 1 : 0;
  });
  cost.restart_cpu = CpuNow() - start;
  cost.restart_records = static_cast<double>(read);
  return cost;
}

// The least processor time of several runs; the rest is the same in each.
Cost LeastCost(const std::string& folder, int changes, int fronts) {
  Cost least = RunChanges(folder, changes, fronts);
  for (int run = 1; run < kRuns; ++run) {
    const Cost cost = RunChanges(folder, changes, fronts);
    least.change_cpu = std::min(least.change_cpu, cost.change_cpu);
    least.restart_cpu = std::min(least.restart_cpu, cost.restart_cpu);
  }
  return least;
}

}  // namespace

void MeasureControl(Recorder& recorder, const std::string& folder) {
  for (const int changes : kChanges) {
    const Cost cost = LeastCost(folder, changes, kFrontsOfChangeSeries);
    recorder.Add({"change", "cpu_us", "changes"}, changes, cost.change_cpu);
    recorder.Add({"change", "bytes", "changes"}, changes, cost.change_bytes);
    recorder.Add({"restart_after_many", "cpu_us", "changes"}, changes,
                 cost.restart_cpu);
    recorder.Add({"restart_after_many", "records", "changes"}, changes,
                 cost.restart_records);
  }
  for (const int changes : kFewChanges) {
    const Cost cost = LeastCost(folder, changes, kFrontsOfChangeSeries);
    recorder.Add({"restart", "cpu_us", "changes"}, changes, cost.restart_cpu);
    recorder.Add({"restart", "records", "changes"}, changes,
                 cost.restart_records);
  }
  for (const int fronts : kFronts) {
    const Cost cost = LeastCost(folder, kChangesOfFrontSeries, fronts);
    recorder.Add({"change", "cpu_us_each", "fronts"}, fronts,
                 cost.change_cpu / kChangesOfFrontSeries);
    recorder.Add({"change", "bytes_each", "fronts"}, fronts,
                 cost.change_bytes / kChangesOfFrontSeries);
  }
  std::filesystem::remove_all(folder);
}

}  // namespace knapweedroad
