// What a change costs three control replicas on their disks, and how long a
// restart takes after many: the chain of decisions over one value, and beside
// it the writes alone of a replicated log (one record a change on each
// replica, with the same store and a snapshot of the same size).
//
//   agreement_bench --changes=10000 --text=examples/be-centre/deployment.json
//       --folder=build/agreement_bench

#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>

#include "knapweedroad/host/control_replica.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/storage/record_store.h"

DEFINE_uint32(changes, 10000, "changes, one after the other");
DEFINE_string(text, "", "the configuration that each change writes");
DEFINE_string(folder, "agreement_bench", "emptied first; holds the data");

namespace {

using namespace knapweedroad;  // NOLINT

constexpr const char* kHosts[] = {"a", "b", "c"};

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return std::move(text).str();
}

double SecondsSince(TimePoint start) {
  return std::chrono::duration<double>(Runtime::Now() - start).count();
}

void Print(const char* name, double seconds, const RecordStoreStats& stats) {
  const auto changes = static_cast<double>(FLAGS_changes);
  std::printf("%-16s %8.0f changes/s  %5.2f syncs  %8.0f bytes", name,
              changes / seconds, static_cast<double>(stats.syncs) / changes,
              static_cast<double>(stats.bytes_written) / changes);
}

std::shared_ptr<ControlReplica> OpenReplica(Runtime& runtime,
                                            const std::string& host) {
  auto replica = ControlReplica::Open(
      runtime, {.host = HostId(host), .folder = FLAGS_folder + "/" + host});
  return replica.has_value() ? *std::move(replica) : nullptr;
}

void RunChain(Runtime& runtime, const std::string& text) {
  std::map<HostId, std::shared_ptr<ControlReplica>> replicas;
  std::vector<HostId> hosts;
  for (const char* host : kHosts) {
    hosts.emplace_back(host);
    replicas[HostId(host)] = OpenReplica(runtime, host);
  }
  ControlService control(
      runtime,
      {.self = hosts.front(),
       .first_hosts = hosts,
       .replica = replicas[hosts.front()],
       .call = [&](const HostId& host, const std::string& bytes, TimePoint) {
         return replicas[host]->OnPeerMessage(bytes);
       }});
  const TimePoint start = Runtime::Now();
  for (uint64_t base = 0; base < FLAGS_changes; ++base) {
    const ChangeOutcome outcome = control.Change(
        {.author = {OperatorId("bench"), RequestId(std::to_string(base))},
         .base_version = base,
         .configuration = text},
        Runtime::Now() + std::chrono::seconds(10));
    if (outcome.result != ChangeResult::kAccepted) {
      std::printf("change %lu was not accepted\n", base);
      return;
    }
  }
  const double seconds = SecondsSince(start);
  Runtime::SleepFor(std::chrono::milliseconds(100));
  Print("chain", seconds, replicas[hosts.front()]->stats());
  replicas[hosts.front()].reset();
}

void RestartChain(Runtime& runtime) {
  const TimePoint start = Runtime::Now();
  const auto replica = OpenReplica(runtime, "b");
  const double seconds = SecondsSince(start);
  std::printf("  restart %6.2f ms, version %lu\n", 1000 * seconds,
              replica->accepted()->version);
}

void RunLog(const std::string& text) {
  const std::string folder = FLAGS_folder + "/log";
  const auto open = [&] {
    return *RecordStore::Open(
        {.folder = folder, .snapshot = [&] { return text; }},
        [](std::string_view) {});
  };
  auto store = open();
  const TimePoint start = Runtime::Now();
  for (uint32_t change = 0; change < FLAGS_changes; ++change) {
    static_cast<void>(store->Append(text));
  }
  Print("log, writes only", SecondsSince(start), store->stats());
  store.reset();
  const TimePoint restart = Runtime::Now();
  store = open();
  std::printf("  restart %6.2f ms\n", 1000 * SecondsSince(restart));
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::string text =
      FLAGS_text.empty() ? std::string(6000, 'x') : ReadFile(FLAGS_text);
  std::filesystem::remove_all(FLAGS_folder);
  std::printf("%u changes of %zu bytes; figures are of one replica\n",
              FLAGS_changes, text.size());
  Runtime runtime;
  runtime.Spawn([&] {
    RunChain(runtime, text);
    RestartChain(runtime);
    RunLog(text);
    runtime.Stop();
  });
  runtime.Run();
  return 0;
}
