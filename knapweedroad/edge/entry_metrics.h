// Counts of an entry host, in Prometheus' text format.
//
//   metrics.CountRequest(route, "gathered", took);
//   std::string page = metrics.Print();

#ifndef KNAPWEEDROAD_EDGE_ENTRY_METRICS_H_
#define KNAPWEEDROAD_EDGE_ENTRY_METRICS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "knapweedroad/accounts/account_metrics.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct AdmissionResult;

class EntryMetrics {
 public:
  // One request's admission or rejection, by its client account.
  void CountAdmission(const AdmissionResult& result);
  // One request's end, by its route and outcome.
  void CountRequest(std::string_view route,
                    std::string_view outcome,
                    Duration took);
  // One attempt's end.
  void CountAttempt(std::string_view outcome);
  // Attempts beyond the first, sent and refused for want of budget.
  void CountExtra(bool sent);
  // Attempts of this host that another one makes and merges, in one call.
  void CountGather(size_t attempts);

  // Adds a value that is read now.
  void SetGauge(std::string_view name, double value);

  // All of it, one family after another.
  std::string Print() const;

 private:
  // Upper bounds of the latency buckets, in ms: a latency target is never more
  // than twice its neighbour.
  static constexpr std::array<double, 10> kBounds = {5,   10,  20,  50,   100,
                                                     200, 400, 800, 1600, 6000};
  // Bounds the page: names of routes come from outside.
  static constexpr size_t kMostRoutes = 1000;

  struct Histogram {
    std::array<uint64_t, kBounds.size() + 1> counts{};
    double sum_ms = 0;
    uint64_t count = 0;
  };

  std::map<std::string, Histogram, std::less<>> latency;
  std::map<std::pair<std::string, std::string>, uint64_t> requests;
  std::map<std::string, uint64_t, std::less<>> attempts;
  std::map<std::string, double, std::less<>> gauges;
  AccountMetrics accounts;
  uint64_t extra_sent = 0;
  uint64_t gather_calls = 0;
  uint64_t gathered_attempts = 0;
  uint64_t extra_refused = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ENTRY_METRICS_H_
