// What a control host knew of targets and entry hosts, kept over a restart.
//
//   DirectoryCache cache(runtime, folder);
//   DirectorySnapshot known = cache.Load();   // blocks the thread: at start
//   cache.Save(snapshot);                     // blocks the calling fiber
//
// After all hosts have lost their power the targets are as they were, and each
// would be known again only after its next announcement. What is read may be
// out of date: anything newer supersedes it, and a target is always named in
// what is sent to it.

#ifndef KNAPWEEDROAD_EDGE_DIRECTORY_CACHE_H_
#define KNAPWEEDROAD_EDGE_DIRECTORY_CACHE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/registry/entry_host_record.h"
#include "knapweedroad/registry/target_record.h"

namespace knapweedroad {

class Runtime;

struct DirectorySnapshot {
  std::vector<TargetRecord> targets;
  std::vector<EntryHostRecord> entry_hosts;

  friend bool operator==(const DirectorySnapshot&,
                         const DirectorySnapshot&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->targets, this->entry_hosts);
  }
};

class DirectoryCache {
 public:
  DirectoryCache(Runtime& runtime, std::string folder);
  ~DirectoryCache();

  // Empty where there is none, or where the file is damaged: it is a help, and
  // nothing depends on it.
  DirectorySnapshot Load() const;

  // False, with a line in the log, where the disk refused it.
  bool Save(const DirectorySnapshot& snapshot);

  // What has changed since, as two revisions.
  using Revisions = std::pair<uint64_t, uint64_t>;

  // Saves what `take` gives whenever `revisions` has moved, until `is_stopped`.
  // Blocks the calling fiber.
  void KeepSaved(const std::function<Revisions()>& revisions,
                 const std::function<DirectorySnapshot()>& take,
                 const std::function<bool()>& is_stopped);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_DIRECTORY_CACHE_H_
