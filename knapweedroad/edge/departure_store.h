// The departures of targets that a control host has on its disk.
//
//   DepartureStore store(runtime, {.folder = folder});
//   for (const TargetRecord& departure : store.Load()) { ... }   // at start
//   if (store.Save({departure})) Acknowledge();

#ifndef KNAPWEEDROAD_EDGE_DEPARTURE_STORE_H_
#define KNAPWEEDROAD_EDGE_DEPARTURE_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/registry/target_record.h"
#include "knapweedroad/storage/record_store.h"

namespace knapweedroad {

class Runtime;

struct DepartureStoreOptions {
  std::string folder;
  // A departure is dropped this long after it was saved or loaded: by then no
  // announcement of before it is on its way.
  Duration keep_for = std::chrono::seconds(60);
  // For tests, see RecordStoreOptions.
  std::function<bool()> sync_fails;
};

class DepartureStore {
 public:
  DepartureStore(Runtime& runtime, DepartureStoreOptions options);
  ~DepartureStore();

  // Blocks the thread. Damaged files are moved aside and logged: this copy is
  // then lost, as with a lost disk. Where the disk can't be read, it is tried
  // again by Save().
  std::vector<TargetRecord> Load();

  // Blocks the calling fiber until the departures are on the disk; false where
  // the disk refuses. Calls that come during a sync share the next one.
  bool Save(const std::vector<TargetRecord>& departures);

  // Of the files since the last time that they were opened.
  RecordStoreStats stats() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_DEPARTURE_STORE_H_
