// The stand-in searcher without its sockets: slots, cold start, faults, and
// an exact count of what the tier put on it.
//
//   SearcherCore core({.front = FrontId("redactie"), .slots = 2}, now);
//   auto ticket = core.Begin(request, now);
//   if (!ticket) return Refuse(ticket.error());
//   ... after ticket->run_for ...
//   auto answer = core.Finish(ticket->number, now);
//
// It starts cold, bears `cold_slots` requests until `warm_after` of them are
// done, and falls over when pushed past that. It never queues.

#ifndef KNAPWEEDROAD_TESTING_SEARCHER_CORE_H_
#define KNAPWEEDROAD_TESTING_SEARCHER_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/run_outcome.h"
#include "knapweedroad/base/snapshot_id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/target/target_report.h"
#include "knapweedroad/testing/index_truth.h"
#include "knapweedroad/testing/searcher_counts.h"
#include "knapweedroad/testing/searcher_faults.h"

namespace knapweedroad {

struct SearcherCoreOptions {
  TargetId target;
  FrontId front;
  ServiceId service;
  ZoneId zone;
  uint32_t slots = 2;
  uint32_t cold_slots = 1;
  uint32_t connections = 25;
  uint32_t units = 10;
  SnapshotId snapshot{.generation = 1, .index_version = 1};
  uint64_t incarnation = 1;
  bool starts_cold = true;
  // Requests done in a cold start before the target bears its slots.
  uint32_t warm_after = 20;
  // Requests over the cold limit within `overload_window` that make it fall
  // over; it then sheds everything for `fallen_for`.
  uint32_t overload_tolerance = 3;
  Duration overload_window = std::chrono::seconds(1);
  Duration fallen_for = std::chrono::seconds(1);
  // Log-normal time of one request, longer by `cold_factor` while cold.
  Duration service_time_median = std::chrono::milliseconds(5);
  double service_time_sigma = 0.3;
  double cold_factor = 2.0;
  // Time the tier has to stop sending after it was told.
  Duration leave_grace = std::chrono::seconds(3);
  // Time an answer or report needs to reach whoever decides.
  Duration evidence_grace = std::chrono::milliseconds(100);
  uint64_t seed = 1;
};

enum class WorkKind : uint8_t { kSearch, kRecord, kLookup };

struct WorkRequest {
  WorkKind kind = WorkKind::kSearch;
  std::string attempt_id;
  std::string request_id;
  // Of lookups.
  std::string idempotency_key;
  // The time left; absent: no deadline.
  std::optional<Duration> remaining;
  // Of searches.
  SnapshotId snapshot;
  // The query's text or the record's id.
  std::string subject;
};

struct WorkTicket {
  uint64_t number = 0;
  Duration run_for{};
};

struct WorkRefusal {
  int status = 503;
  // Absent: the answer names no outcome.
  std::optional<RunOutcome> outcome = RunOutcome::kNotRun;
  std::string detail;
};

struct WorkAnswer {
  WorkKind kind = WorkKind::kSearch;
  std::string attempt_id;
  SnapshotId snapshot;
  uint32_t units = 0;
  std::vector<IndexHit> hits;
  std::string record;
  std::string record_text;
  // To be sent cut off in the middle of its body.
  bool truncated = false;
};

class SearcherCore {
 public:
  SearcherCore(SearcherCoreOptions options, TimePoint now);

  // Takes a request in; it then holds a slot until Finish() or Cancel().
  tl::expected<WorkTicket, WorkRefusal> Begin(const WorkRequest& request,
                                              TimePoint now);

  // Ends a request and frees its slot. A refusal where its deadline has
  // passed, it was cancelled, or a fault says so.
  tl::expected<WorkAnswer, WorkRefusal> Finish(uint64_t ticket, TimePoint now);

  // Gives a running attempt up; its ticket, if there is one.
  std::optional<uint64_t> Cancel(const std::string& attempt_id);

  // The next report as the target would send it, with the faults' lies.
  TargetReport MakeReport();
  // A host has taken the last report in.
  void ReportTaken(TimePoint now);

  // A connection was opened or closed; false: over the cap, close it.
  bool ConnectionOpened(TimePoint now);
  void ConnectionClosed();

  // Faults and changes, each from now on.
  void SetFaults(const SearcherFaults& faults) { this->faults = faults; }
  void FallCold();
  void EndColdStart();
  // A new incarnation: cold, and whatever ran is lost.
  void Restart();
  void Leave(TimePoint now);
  void AddSnapshot(SnapshotId snapshot, std::optional<uint32_t> units);
  // Operators took the target's zone out, or back in, by the target's clock.
  void MarkZone(bool out, TimePoint now);

  // Counts begin again at zero; keys and request ids stay known.
  void ResetCounts();

  const SearcherCounts& counts() const { return this->counted; }
  const SearcherCoreOptions& options() const { return this->settings; }
  const SearcherFaults& current_faults() const { return this->faults; }
  TargetState state() const;
  // What reports and answers say: the state, or the faults' lie.
  TargetState told_state() const;
  uint32_t in_flight() const;
  const std::vector<SnapshotId>& holds() const { return this->snapshots; }
  // How often a request, or an idempotency key, was executed here.
  uint64_t RequestExecutions(const std::string& request_id) const;
  uint64_t KeyExecutions(const std::string& key) const;

 private:
  struct Running {
    WorkRequest request;
    TimePoint started;
    bool expires = false;
  };

  std::optional<WorkRefusal> FindRefusal(const WorkRequest& request,
                                         TimePoint now);
  std::optional<WorkRefusal> ShedOverLimit(TimePoint now);
  void CountArrival(TimePoint now);
  void CountExecution(const WorkRequest& request, TimePoint now);
  void OnColdOverload(TimePoint now);
  void WarmUp();
  void StateTold(TimePoint now);
  bool EvidenceHadTime(TimePoint now) const;
  WorkAnswer AnswerTo(const WorkRequest& request) const;
  Duration DrawServiceTime();
  bool Draw(double probability);
  void AddViolation(ViolationKind kind, TimePoint now, std::string detail);

  SearcherCoreOptions settings;
  TimePoint made;
  SearcherFaults faults;
  SearcherCounts counted;
  std::mt19937_64 random;
  std::unordered_map<uint64_t, Running> running;
  uint64_t next_ticket = 1;
  uint64_t sequence = 0;
  uint32_t connections = 0;
  bool cold = true;
  uint32_t done_while_cold = 0;
  // When anybody outside was first told, or shown, that it is cold.
  std::optional<TimePoint> evidence_at;
  std::optional<TimePoint> fallen_until;
  std::vector<TimePoint> cold_overloads;
  std::optional<TimePoint> leaving_since;
  std::optional<TimePoint> zone_out_since;
  std::vector<SnapshotId> snapshots;
  std::map<uint32_t, uint32_t> units_by_generation;
  std::unordered_map<std::string, uint64_t> request_executions;
  std::unordered_map<std::string, uint64_t> key_executions;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_SEARCHER_CORE_H_
