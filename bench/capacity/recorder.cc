#include "bench/capacity/recorder.h"

#include <malloc.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <limits>

namespace knapweedroad {
namespace {

constexpr int kRuns = 5;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kNanosecondsPerMicrosecond = 1e3;

}  // namespace

Recorder::Recorder(std::FILE* out) : out(out) {
  std::fputs("kind,experiment,measure,by,size_or_intercept,value_or_slope\n",
             this->out);
}

void Recorder::Add(const Measure& measure, double size, double value) {
  this->points[measure].emplace_back(size, value);
  std::fprintf(this->out, "point,%s,%s,%s,%g,%.6g\n",
               measure.experiment.c_str(), measure.name.c_str(),
               measure.by.c_str(), size, value);
  std::fflush(this->out);
}

void Recorder::PrintFits() const {
  for (const auto& [measure, samples] : this->points) {
    const auto count = static_cast<double>(samples.size());
    double mean_size = 0;
    double mean_value = 0;
    for (const auto& [size, value] : samples) {
      mean_size += size / count;
      mean_value += value / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const auto& [size, value] : samples) {
      covariance += (size - mean_size) * (value - mean_value);
      variance += (size - mean_size) * (size - mean_size);
    }
    const double slope = variance > 0 ? covariance / variance : 0;
    std::fprintf(this->out, "fit,%s,%s,%s,%.6g,%.6g\n",
                 measure.experiment.c_str(), measure.name.c_str(),
                 measure.by.c_str(), mean_value - slope * mean_size, slope);
  }
}

double CpuNow() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * kMicrosecondsPerSecond +
         static_cast<double>(now.tv_nsec) / kNanosecondsPerMicrosecond;
}

double CpuMicroseconds(const std::function<void()>& work) {
  double least = std::numeric_limits<double>::max();
  for (int run = 0; run < kRuns; ++run) {
    const double start = CpuNow();
    work();
    least = std::min(least, CpuNow() - start);
  }
  return least;
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace knapweedroad
