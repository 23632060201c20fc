#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bench/capacity/experiments.h"
#include "bench/capacity/query_world.h"
#include "bench/capacity/recorder.h"
#include "bench/capacity/sample.h"
#include "knapweedroad/admission/target_admission.h"
#include "knapweedroad/host/target_exchange.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

constexpr int kBatches[] = {2000, 4000, 8000};
constexpr int kFanOuts[] = {10, 100, 500, 1500};
// Of each fan-out, so that the clock's own steps don't count.
constexpr int kSubRequestsAFanOut = 15000;

TargetAdmission WarmAdmission(TimePoint now) {
  TargetAdmission admission({.slots = 2, .max_connections = 25});
  admission.SetShare({.slots = 2}, now);
  admission.OnReport(SampleReport(1), now);
  return admission;
}

// A holder's work for one attempt, without any socket.
void RunSubRequests(int count) {
  TimePoint now = TimePoint(1h);
  TargetAdmission admission = WarmAdmission(now);
  const AttemptReply sample = SampleReply();
  for (int number = 0; number < count; ++number) {
    const AttemptCall call = SampleCall(number);
    admission.Submit({.attempt = call.attempt.str(),
                      .tenant = call.tenant,
                      .request_class = call.request_class,
                      .front = call.front,
                      .deadline = now + 90ms},
                     now);
    const HttpRequest request = TargetRequest(call, 90ms);
    HttpResponse response{.body = sample.body};
    response.headers["Knapweed-Attempt-Id"] = call.attempt.str();
    response.headers["Knapweed-Snapshot"] = "1.17";
    now += 5ms;
    const ExchangeEnd end = ReadTargetAnswer(call, std::move(response), 5ms);
    admission.OnFinished(call.attempt.str(), end.result, now);
  }
}

size_t RunHopMessages(int count) {
  const AttemptReply reply = SampleReply();
  size_t bytes = 0;
  for (int number = 0; number < count; ++number) {
    const std::string call = EncodeBytes(SampleCall(number));
    const std::string answer = EncodeBytes(reply);
    bytes += call.size() + answer.size();
    bytes += DecodeBytes<AttemptCall>(call) ? 0 : 1;
    bytes += DecodeBytes<AttemptReply>(answer) ? 0 : 1;
  }
  return bytes;
}

}  // namespace

void MeasureQueries(Recorder& recorder) {
  for (const int count : kBatches) {
    recorder.Add({"sub_request", "cpu_us", "sub_requests"}, count,
                 CpuMicroseconds([&] { RunSubRequests(count); }));
  }
  for (const int count : kBatches) {
    size_t bytes = 0;
    recorder.Add({"hop_codec", "cpu_us", "calls"}, count,
                 CpuMicroseconds([&] { bytes = RunHopMessages(count); }));
    recorder.Add({"hop_codec", "bytes", "calls"}, count,
                 static_cast<double>(bytes));
  }
  for (const int fan_out : kFanOuts) {
    QueryWorld world(fan_out);
    const int queries = kSubRequestsAFanOut / fan_out;
    const double all = CpuMicroseconds([&] {
      for (int query = 0; query < queries; ++query) {
        world.RunQuery();
      }
    });
    recorder.Add({"query_run", "cpu_us", "fan_out"}, fan_out, all / queries);
  }
}

}  // namespace knapweedroad
