// Collects what an experiment measured at several sizes, as CSV, and fits a
// line through it.
//
//   Recorder recorder(stdout);
//   recorder.Add({"heartbeat", "bytes", "targets"}, 10, 512);
//   recorder.PrintFits();

#ifndef KNAPWEEDROAD_BENCH_CAPACITY_RECORDER_H_
#define KNAPWEEDROAD_BENCH_CAPACITY_RECORDER_H_

#include <compare>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace knapweedroad {

// What was measured, and the size that was varied.
struct Measure {
  std::string experiment;
  // With its unit: `cpu_us`, `bytes`, `heap_bytes`.
  std::string name;
  std::string by;

  friend auto operator<=>(const Measure&, const Measure&) = default;
};

class Recorder {
 public:
  // Prints to `out`, which outlives it.
  explicit Recorder(std::FILE* out);

  // Prints the point at once.
  void Add(const Measure& measure, double size, double value);

  // A least-squares line of each measure: its value at size zero, its slope.
  void PrintFits() const;

 private:
  std::FILE* out;
  std::map<Measure, std::vector<std::pair<double, double>>> points;
};

// Processor time of this process's threads, in microseconds: the least of
// several runs, as other processes only ever add to it.
double CpuMicroseconds(const std::function<void()>& work);

// Processor time of this process until now, in microseconds.
double CpuNow();

// Bytes that the allocator has handed out now.
double HeapBytes();

// Bytes of this process that are in memory now.
double ResidentBytes();

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BENCH_CAPACITY_RECORDER_H_
