// What the tier itself costs: the latency of a query through a host beside that
// of one sub-query to a bare stand-in, taken in turn in one run, and then the
// queries a second and the processor time a query with many callers at once.
//
//   tier_cost CALLER_IP:PORT TARGET_IP:PORT HOST_PID
//
// bench/tier_cost starts what it needs.

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/host/report_json.h"
#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr int kPairs = 2000;
constexpr int kCallers = 16;
constexpr Duration kLoadTime = 5s;
constexpr Duration kPatience = 5s;
constexpr int kOk = 200;

HttpRequest Query() {
  return {.method = "POST",
          .path = "/v1/fronts/wide/query",
          .headers = {{"Knapweed-Tenant", "bench"},
                      {"Knapweed-Deadline-Ms", "1000"},
                      {"Host", "bench"}},
          .body = "{\"query\": \"flood\"}"};
}

HttpRequest SubQuery(int number) {
  return {
      .method = "POST",
      .path = "/v1/search",
      .headers = {{"Knapweed-Attempt-Id", "bench-" + std::to_string(number)},
                  {"Knapweed-Request-Id", "bench"},
                  {"Knapweed-Deadline-Ms", "1000"},
                  {"Knapweed-Snapshot", "1.1"},
                  {"Host", "bench"}},
      .body = "{\"query\": \"flood\"}"};
}

// Microseconds of one exchange, or nothing counted where it failed.
void TakeTime(HttpClient& client,
              const HttpRequest& request,
              std::vector<double>& times) {
  const TimePoint start = Runtime::Now();
  const auto response = client.Send(request, start + kPatience);
  if (response && response->status == kOk) {
    times.push_back(
        std::chrono::duration<double, std::micro>(Runtime::Now() - start)
            .count());
  }
}

double Quantile(std::vector<double>& times, double share) {
  std::sort(times.begin(), times.end());
  const auto last = static_cast<double>(times.size() - 1);
  return times[static_cast<size_t>(share * last)];
}

// Processor seconds of the process so far, user and system.
double ProcessorSeconds(const std::string& pid) {
  std::ifstream file("/proc/" + pid + "/stat");
  std::string word;
  double ticks = 0;
  constexpr int kUserField = 14;
  constexpr int kSystemField = 15;
  for (int field = 1; file >> word; ++field) {
    if (field == kUserField || field == kSystemField) {
      ticks += std::stod(word);
    }
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void CompareLatencies(HttpClient& host, HttpClient& target) {
  std::vector<double> through;
  std::vector<double> bare;
  for (int i = 0; i < kPairs; ++i) {
    TakeTime(target, SubQuery(i), bare);
    TakeTime(host, Query(), through);
  }
  if (through.empty() || bare.empty()) {
    std::puts("nothing was answered");
    return;
  }
  std::printf("answered: %zu through the tier, %zu bare, of %d\n",
              through.size(), bare.size(), kPairs);
  for (const double share : {0.5, 0.99}) {
    const double all = Quantile(through, share);
    const double alone = Quantile(bare, share);
    std::printf("p%g us: tier %.0f, bare %.0f, added %.0f\n", share * 100, all,
                alone, all - alone);
  }
}

void MeasureThroughput(Runtime& runtime,
                       HttpClient& host,
                       const std::string& pid) {
  const TimePoint end = Runtime::Now() + kLoadTime;
  const double before = ProcessorSeconds(pid);
  std::vector<double> times;
  int running = kCallers;
  for (int i = 0; i < kCallers; ++i) {
    runtime.Spawn([&] {
      while (Runtime::Now() < end) {
        TakeTime(host, Query(), times);
      }
      if (--running == 0) {
        runtime.Stop();
      }
    });
  }
  runtime.Run();
  const double used = ProcessorSeconds(pid) - before;
  const auto count = static_cast<double>(times.size());
  std::printf("%d callers: %.0f queries/s, %.0f us of processor time a query\n",
              kCallers,
              count / std::chrono::duration<double>(kLoadTime).count(),
              used * 1e6 / count);
}

}  // namespace
}  // namespace knapweedroad

int main(int argc, char** argv) {
  using knapweedroad::HttpClient;
  if (argc != 4) {
    std::puts("usage: tier_cost CALLER_IP:PORT TARGET_IP:PORT HOST_PID");
    return 2;
  }
  const auto caller = knapweedroad::ReadEndpoint(argv[1]);
  const auto target = knapweedroad::ReadEndpoint(argv[2]);
  if (!caller || !target) {
    std::puts("an address is IP:PORT");
    return 2;
  }
  knapweedroad::Runtime runtime;
  HttpClient host_client(runtime, {.endpoint = *caller});
  HttpClient target_client(runtime, {.endpoint = *target});
  knapweedroad::CompareLatencies(host_client, target_client);
  knapweedroad::MeasureThroughput(runtime, host_client, argv[3]);
  return 0;
}
