#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bench/capacity/experiments.h"
#include "bench/capacity/recorder.h"
#include "bench/capacity/sample.h"
#include "knapweedroad/host/target_exchange.h"
#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/peer_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr int kCalls[] = {4000, 8000, 16000};
constexpr int kFibers = 40;
constexpr int kRuns = 5;
constexpr int kConnections[] = {50, 100, 200};

// Splits the calls over fibers, waits for all in the calling fiber, and returns
// the processor time.
double RunInFibers(Runtime& runtime,
                   int calls,
                   const std::function<void()>& call) {
  int open = kFibers;
  const double start = CpuNow();
  for (int fiber = 0; fiber < kFibers; ++fiber) {
    runtime.Spawn([&] {
      for (int number = 0; number < calls / kFibers; ++number) {
        call();
      }
      --open;
    });
  }
  while (open > 0) {
    Runtime::SleepFor(1ms);
  }
  return CpuNow() - start;
}

// The least of several runs.
double CostOf(Runtime& runtime, int calls, const std::function<void()>& call) {
  double least = RunInFibers(runtime, calls, call);
  for (int run = 1; run < kRuns; ++run) {
    least = std::min(least, RunInFibers(runtime, calls, call));
  }
  return least;
}

PeerServerOptions PeerOptions(const std::string& reply) {
  return {.endpoint = {.ip = "127.0.0.1"},
          .handler = [reply](PeerMessageType, const std::string&)
              -> tl::expected<std::string, std::string> { return reply; }};
}

HttpServerOptions HttpOptions() {
  return {.endpoint = {.ip = "127.0.0.1"},
          .handler = [](const HttpRequest&, HttpExchange&) {
            return HttpResponse{.body = SampleReply().body};
          }};
}

void MeasurePeerCalls(Recorder& recorder, Runtime& runtime) {
  const std::string call = EncodeBytes(SampleCall(1));
  PeerServer server(runtime, PeerOptions(EncodeBytes(SampleReply())));
  const uint16_t port = server.Start().value();
  PeerClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port}});
  for (const int calls : kCalls) {
    int failed = 0;
    const double cpu = CostOf(runtime, calls, [&] {
      failed +=
          client.Call(PeerMessageType::kAttempt, call, Runtime::Now() + 10s)
              ? 0
              : 1;
    });
    recorder.Add({"hop_tcp", "cpu_us", "calls"}, calls, cpu);
    recorder.Add({"hop_tcp", "failed", "calls"}, calls, failed);
  }
}

void MeasureExchanges(Recorder& recorder, Runtime& runtime) {
  HttpServer server(runtime, HttpOptions());
  const uint16_t port = server.Start().value();
  HttpClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port},
                              .max_connections = kFibers});
  const HttpRequest request = TargetRequest(SampleCall(1), 90ms);
  for (const int calls : kCalls) {
    int failed = 0;
    const double cpu = CostOf(runtime, calls, [&] {
      failed += client.Send(request, Runtime::Now() + 10s) ? 0 : 1;
    });
    recorder.Add({"target_exchange", "cpu_us", "exchanges"}, calls, cpu);
    recorder.Add({"target_exchange", "failed", "exchanges"}, calls, failed);
  }
  server.Stop(Runtime::Now() + 1s);
}

// Both ends of each connection, which share this process.
void MeasureConnections(Recorder& recorder, Runtime& runtime) {
  std::vector<std::unique_ptr<PeerClient>> clients;
  PeerServer server(runtime, PeerOptions("x"));
  const uint16_t port = server.Start().value();
  for (const int count : kConnections) {
    while (clients.size() < static_cast<size_t>(count)) {
      clients.push_back(std::make_unique<PeerClient>(
          runtime,
          PeerClientOptions{.endpoint = {.ip = "127.0.0.1", .port = port}}));
      static_cast<void>(clients.back()->Call(PeerMessageType::kAttempt, "x",
                                             Runtime::Now() + 10s));
    }
    recorder.Add({"peer_connection", "heap_bytes", "connections"}, count,
                 HeapBytes());
    recorder.Add({"peer_connection", "resident_bytes", "connections"}, count,
                 ResidentBytes());
  }
}

}  // namespace

void MeasureNetwork(Recorder& recorder) {
  Runtime runtime;
  runtime.Spawn([&] {
    MeasureConnections(recorder, runtime);
    MeasurePeerCalls(recorder, runtime);
    MeasureExchanges(recorder, runtime);
    runtime.Stop();
  });
  runtime.Run();
}

}  // namespace knapweedroad
