// The experiments of capacity_bench, by what they measure. Each varies one
// size over three values or more.

#ifndef KNAPWEEDROAD_BENCH_CAPACITY_EXPERIMENTS_H_
#define KNAPWEEDROAD_BENCH_CAPACITY_EXPERIMENTS_H_

#include <string>

namespace knapweedroad {

class Recorder;

// Sub-requests at a lease holder, hop messages, whole queries by fan-out.
void MeasureQueries(Recorder& recorder);

// Calls between hosts and exchanges with a target, over loopback.
void MeasureNetwork(Recorder& recorder);

// Leases, heartbeats, announcements.
void MeasureMembership(Recorder& recorder);

// Deltas and whole configurations by number of fronts.
void MeasureConfiguration(Recorder& recorder);

// Synced changes and restarts; `folder` is emptied first.
void MeasureControl(Recorder& recorder, const std::string& folder);

// Heap of what a host keeps of each target, host, connection and query.
void MeasureMemory(Recorder& recorder);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_BENCH_CAPACITY_EXPERIMENTS_H_
