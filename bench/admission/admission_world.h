// Nine hosts in front of one target, each with the product's own admission, in
// one of the ways to keep the target from overload.

#ifndef BENCH_ADMISSION_ADMISSION_WORLD_H_
#define BENCH_ADMISSION_ADMISSION_WORLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/admission/target_model.h"
#include "bench/query/event_queue.h"
#include "knapweedroad/admission/admission_mode.h"
#include "knapweedroad/admission/target_admission.h"

namespace knapweedroad::bench {

enum class Trouble : uint8_t { kNone, kRestart, kFallCold };

struct WorldOptions {
  AdmissionMode mode = AdmissionMode::kLease;
  // With kSplitSlots: hosts whose part is none have one slot all the same.
  bool at_least_one = false;
  uint32_t hosts = 9;
  uint32_t slots = 2;
  // Requests a second, from all hosts together.
  double rate = 70;
  Duration length = std::chrono::seconds(20);
  Trouble outlier = Trouble::kNone;
  // As in `TargetAdmission`.
  double planned_part = 0.5;
  uint64_t seed = 1;
};

struct WorldResult {
  uint64_t offered = 0;
  // Answered by the deadline.
  uint64_t good = 0;
  // Told at once, or while waiting, that it can't be done.
  uint64_t refused = 0;
  // The deadline passed with an attempt at the target, or it shed or lost all.
  uint64_t failed = 0;
  uint64_t sheds = 0;
  // Of the good ones: time beyond the target's own.
  std::vector<Duration> waits;
  TargetCounts target;
};

class AdmissionWorld {
 public:
  explicit AdmissionWorld(const WorldOptions& options);
  WorldResult Run();

 private:
  struct Request {
    uint32_t host = 0;
    TimePoint arrived{};
    TimePoint deadline{};
    Duration service_time{};
    TimePoint sent{};
    uint32_t tries = 0;
  };

  uint32_t AdmittingHost(uint32_t host) const;
  Duration HopOf(uint32_t host) const;
  double Uniform();
  Duration ServiceTime();
  void ScheduleArrival();
  void Submit(uint64_t id);
  void Perform(uint32_t host, const AdmissionActions& actions);
  void Start(uint32_t host, uint64_t id);
  void Refuse(uint64_t id);
  void OnEnd(uint32_t host, uint64_t id, AttemptStatus status);
  void OnDeadline(uint32_t host, uint64_t id);
  void PlanTick(uint32_t host);
  void Report();

  WorldOptions options;
  EventQueue events;
  std::mt19937_64 random;
  TargetModel target;
  std::vector<std::unique_ptr<TargetAdmission>> admissions;
  std::vector<TimePoint> planned;
  std::map<uint64_t, Request> requests;
  uint64_t next_request = 0;
  uint64_t reports = 0;
  WorldResult result;
};

}  // namespace knapweedroad::bench

#endif  // BENCH_ADMISSION_ADMISSION_WORLD_H_
