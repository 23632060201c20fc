// Stores all targets that are known to a control host, from their announcements
// and from records that other control hosts forward, with a revision for
// followers.
//
//   TargetRegistry registry({.self = host, .silent_after = 4s});
//   registry.Announce(record, now);
//   auto changed = registry.ChangedSince(revision, now);

#ifndef KNAPWEEDROAD_REGISTRY_TARGET_REGISTRY_H_
#define KNAPWEEDROAD_REGISTRY_TARGET_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/target_record.h"

namespace knapweedroad {

struct TargetRegistryOptions {
  HostId self;
  // A target is marked silent after this time without an announcement.
  Duration silent_after = std::chrono::seconds(4);
  // Records of silent or deregistered targets are dropped after this time.
  Duration forget_after = std::chrono::seconds(60);
  // Bounds memory against a flood of invented ids.
  size_t max_targets = 40'000;
};

// The result of an announcement.
enum class AnnounceResult : uint8_t {
  kAccepted,
  kOutdated,  // a newer record exists; nothing changed
  kFull,
  // Too few control hosts could store that the target leaves: it must not be
  // acknowledged. TargetRegistry itself never returns this.
  kNotHeld,
};

class TargetRegistry {
 public:
  explicit TargetRegistry(TargetRegistryOptions options);

  // Records an announcement that a target sent to this host. Returns kFull if
  // the target is new and the registry has reached its maximum size.
  AnnounceResult Announce(TargetRecord record, TimePoint now);

  // Marks the target as gone. `started_ms` and `sequence` are zero if the
  // target doesn't state them: the incarnation recorded here ends. Returns
  // kOutdated for an earlier incarnation, which changes nothing. An unknown
  // target is recorded as gone, so that its announcement that arrives later
  // doesn't make it serve; kFull if there is no room for it.
  AnnounceResult Deregister(const TargetId& id,
                            uint64_t started_ms,
                            uint64_t sequence,
                            TimePoint now);

  // Records that the target's departure, as Find() returns it, outlives the
  // losses that the deployment has to bear.
  void MarkDepartureHeld(const TargetRecord& departure);

  // Returns the target's departure if it is leaving or gone and that isn't held
  // yet; null otherwise.
  const TargetRecord* FindUnheldDeparture(const TargetId& id) const;

  // Merges a record that another control host forwarded.
  void Merge(TargetRecord record, TimePoint now);

  // Marks targets silent and drops expired records. `is_live` returns whether a
  // control host is reachable; a live control host decides on the targets that
  // it receives heartbeats from.
  void Sweep(const std::function<bool(const HostId&)>& is_live, TimePoint now);

  // Increases with each change that followers must receive.
  uint64_t revision() const { return this->newest_revision; }

  // Returns the records that changed after `revision`; 0 returns all.
  std::vector<TargetRecord> ChangedSince(uint64_t revision,
                                         TimePoint now) const;

  // Calls `visit` for each record, in unspecified order.
  void ForEach(const std::function<void(const TargetRecord& record,
                                        bool is_cold)>& visit,
               TimePoint now) const;

  // Returns the version that the service's targets run. If there are several,
  // returns one other than `candidate`, that of the target that started first.
  // Empty if the service has no targets.
  VersionId VersionInUse(const ServiceId& service,
                         const VersionId& candidate) const;
  bool HasTargets(const ServiceId& service) const;

  // Returns null if the target is unknown.
  const TargetRecord* Find(const TargetId& id) const;
  size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    TargetRecord record;
    TimePoint cold_until;
    TimePoint last_update;
    uint64_t changed = 0;
    // The departure that is held; absent before, and once the target serves
    // again.
    std::optional<TargetPhase> held_phase;
  };

  bool Apply(TargetRecord record, TimePoint now);
  AnnounceResult EndIncarnation(Entry& entry,
                                uint64_t started_ms,
                                uint64_t sequence,
                                TimePoint now);
  void ResolveAddressConflict(const TargetId& id, TimePoint now);
  void MarkGone(Entry& entry);

  TargetRegistryOptions options;
  std::unordered_map<TargetId, Entry> entries;
  // The last known target at each address.
  std::unordered_map<std::string, TargetId> by_address;
  uint64_t newest_revision = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_TARGET_REGISTRY_H_
