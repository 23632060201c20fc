// What grows with the deployment, measured at small sizes: processor time,
// bytes and memory, as CSV with a fitted line for each.
//
//   capacity_bench --folder=build/capacity_bench > capacity.csv

#include <cstdio>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include "bench/capacity/experiments.h"
#include "bench/capacity/recorder.h"

DEFINE_string(folder, "capacity_bench.data", "emptied first; holds the data");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  FLAGS_minloglevel = google::GLOG_ERROR;
  knapweedroad::Recorder recorder(stdout);
  // First, as resident memory that others gave back would hide what it takes.
  knapweedroad::MeasureNetwork(recorder);
  knapweedroad::MeasureQueries(recorder);
  knapweedroad::MeasureMembership(recorder);
  knapweedroad::MeasureConfiguration(recorder);
  knapweedroad::MeasureControl(recorder, FLAGS_folder);
  knapweedroad::MeasureMemory(recorder);
  recorder.PrintFits();
  return 0;
}
