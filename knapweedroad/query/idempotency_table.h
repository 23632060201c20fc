// Remembers which keyed requests have begun, on the one host that is
// responsible for a key, so that a resend never runs a second time.
//
//   IdempotencyTable table({.responsible_since = since});
//   BeginResult start = table.Begin(key, record, waiter, now, deadline);
//   if (start.decision == BeginDecision::kRun) {
//     ... run a LookupRun ...
//     for (WaiterId waiter : table.Finish(key, result, now)) { ... }
//   }
//
// What it promises: a key runs at most once as long as no two sends of it in
// a row are more than `resend_window` apart. Later resends are not protected:
// the memory is bounded, and a key that has been quiet for `resend_window` is
// forgotten. While more than `max_keys` keys are younger than that, new ones
// are refused as not run; none is forgotten early. So at most max_keys /
// resend_window new keys a second are served in the long run.

#ifndef KNAPWEEDROAD_QUERY_IDEMPOTENCY_TABLE_H_
#define KNAPWEEDROAD_QUERY_IDEMPOTENCY_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "knapweedroad/base/time.h"
#include "knapweedroad/query/record_run.h"

namespace knapweedroad {

// One caller that waits for a key's result.
using WaiterId = uint64_t;

enum class BeginDecision : uint8_t {
  kRun,     // nobody has begun it: run it, then call Finish()
  kWait,    // it runs; Finish() returns the waiter
  kAnswer,  // answer with `result` at once; nothing runs
};

struct BeginResult {
  BeginDecision decision = BeginDecision::kAnswer;
  // With kAnswer only.
  std::optional<RecordResult> result;
};

// One key as it is handed to the next responsible host.
struct IdempotencyRecord {
  std::string key;
  std::string request;
  RecordResult result;
  // How long ago the key was last sent.
  Duration since_last_send{};
};

struct IdempotencyTableOptions {
  // Longer than the front's longest deadline.
  Duration resend_window = std::chrono::seconds(120);
  size_t max_keys = 50'000;
  // Answers that are kept, all together. Of those that don't fit it is only
  // remembered that they ran.
  size_t max_answer_bytes = 64 << 20;
  // Since when this host has been the only one that may begin this key;
  // nothing while it isn't. Earlier than the lease only where the table of
  // the one before was imported whole.
  std::function<std::optional<TimePoint>(std::string_view key)>
      responsible_since;
};

class IdempotencyTable {
 public:
  explicit IdempotencyTable(IdempotencyTableOptions options);

  // `key` is unique across tenants and fronts: the caller of this function
  // puts them in. `request` tells what is asked for; the same key with
  // another one is refused. `deadline` is that of the run.
  BeginResult Begin(std::string_view key,
                    std::string_view request,
                    WaiterId waiter,
                    TimePoint now,
                    TimePoint deadline);

  // The run that Begin() allowed has ended; returns who waits besides its own
  // caller. A key that provably did not run is free again.
  std::vector<WaiterId> Finish(std::string_view key,
                               const RecordResult& result,
                               TimePoint now);

  // The waiter has left.
  void RemoveWaiter(std::string_view key, WaiterId waiter);

  // For a planned handover: all keys, those that still run as unknown. The
  // caller has stopped calling Begin() before.
  std::vector<IdempotencyRecord> Export(TimePoint now) const;
  // Keys that are known here already stay as they are.
  void Import(std::vector<IdempotencyRecord> records, TimePoint now);

  size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::string key;
    std::string request;
    TimePoint last_sent;
    TimePoint deadline;
    // Nothing while it runs.
    std::optional<RecordResult> result;
    std::vector<WaiterId> waiters;
  };
  using Entries = std::list<Entry>;

  BeginResult BeginNewKey(std::string_view key,
                          std::string_view request,
                          TimePoint now,
                          TimePoint deadline);
  BeginResult BeginExistingKey(Entry& entry, WaiterId waiter, TimePoint now);
  void Insert(Entry entry);
  void ForgetExpired(TimePoint now);
  void Erase(Entries::iterator entry);
  // How long until the oldest key is forgotten.
  Duration TimeUntilFreeEntry(TimePoint now) const;

  IdempotencyTableOptions options;
  // By the time of the last send, oldest first.
  Entries entries;
  // The views are of the keys in `entries`.
  std::unordered_map<std::string_view, Entries::iterator> by_key;
  size_t answer_bytes = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_IDEMPOTENCY_TABLE_H_
