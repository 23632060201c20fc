// All targets that a control host knows of, by their announcements and by what
// other control hosts pass on, with a revision for whoever follows it.
//
//   TargetRegistry registry({.self = host, .silent_after = 4s});
//   registry.Announce(record, now);
//   auto changed = registry.ChangedSince(revision, now);

#ifndef KNAPWEEDROAD_REGISTRY_TARGET_REGISTRY_H_
#define KNAPWEEDROAD_REGISTRY_TARGET_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/target_record.h"

namespace knapweedroad {

struct TargetRegistryOptions {
  HostId self;
  // Without an announcement for this long a target counts as silent.
  Duration silent_after = std::chrono::seconds(4);
  // Records of targets that are silent or gone are dropped after this long.
  Duration forget_after = std::chrono::seconds(60);
  // Bounds memory against a flood of made-up ids.
  size_t max_targets = 20'000;
};

// What became of an announcement.
enum class AnnounceResult : uint8_t {
  kAccepted,
  kOutdated,  // newer knowledge is held; nothing changed
  kFull,
};

class TargetRegistry {
 public:
  explicit TargetRegistry(TargetRegistryOptions options);

  // A target told this host of itself.
  AnnounceResult Announce(TargetRecord record, TimePoint now);

  // The target signs off. `started_ms` and `sequence` are zero where it
  // doesn't say: then its life that is known here ends.
  void Deregister(const TargetId& id,
                  uint64_t started_ms,
                  uint64_t sequence,
                  TimePoint now);

  // Another control host passed this on.
  void Merge(TargetRecord record, TimePoint now);

  // Marks targets silent and drops old records. `is_live` tells whether a
  // control host is in touch: its targets are its own to judge.
  void Sweep(const std::function<bool(const HostId&)>& is_live, TimePoint now);

  // Rises with each change that others must hear of.
  uint64_t revision() const { return this->newest_revision; }

  // Records that changed after `revision`; 0 gives all.
  std::vector<TargetRecord> ChangedSince(uint64_t revision,
                                         TimePoint now) const;

  // In no order.
  void ForEach(const std::function<void(const TargetRecord& record,
                                        bool is_cold)>& visit,
               TimePoint now) const;

  // The version that the service's targets have; of several, other than
  // `candidate`, that of the ones that started first. Empty: none is known.
  VersionId VersionInUse(const ServiceId& service,
                         const VersionId& candidate) const;
  bool HasTargets(const ServiceId& service) const;

  // Null: unknown.
  const TargetRecord* Find(const TargetId& id) const;
  size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    TargetRecord record;
    TimePoint cold_until;
    TimePoint last_update;
    uint64_t changed = 0;
  };

  bool Apply(TargetRecord record, TimePoint now);
  void ResolveAddressConflict(const TargetId& id, TimePoint now);
  void MarkGone(Entry& entry);

  TargetRegistryOptions options;
  std::unordered_map<TargetId, Entry> entries;
  // Which target was last known at an address.
  std::unordered_map<std::string, TargetId> by_address;
  uint64_t newest_revision = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_TARGET_REGISTRY_H_
