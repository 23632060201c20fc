// The requests with an idempotency key that this host has started, so that a
// repeated send of a key does not run again.
//
//   IdempotencyTable table({.responsible_since = since});
//   BeginResult start = table.Begin(key, record, waiter, now, deadline);
//   if (start.decision == BeginDecision::kRun) {
//     ... run a LookupRun ...
//     for (WaiterId waiter : table.Finish(key, result, now)) { ... }
//   }

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

// Identifies one caller that waits for a key's result; chosen by the user of
// the table.
using WaiterId = uint64_t;

// What the caller of Begin() has to do.
enum class BeginDecision : uint8_t {
  // The key is new: run the request, then call Finish().
  kRun,
  // The request is running: wait until Finish() returns this waiter.
  kWait,
  // Do not run the request: answer with `result` at once.
  kAnswer,
};

struct BeginResult {
  BeginDecision decision = BeginDecision::kAnswer;
  // Set for kAnswer only.
  std::optional<RecordResult> result;
};

// One key in the form in which it is exported to the next responsible host.
struct IdempotencyRecord {
  std::string key;
  std::string request;
  RecordResult result;
  // The time since the key was last sent, at the export.
  Duration since_last_send{};
};

struct IdempotencyTableOptions {
  // How long after its last send a key is kept. Must exceed the longest
  // timeout of a request on the front.
  Duration resend_window = std::chrono::seconds(120);
  // The maximum number of keys in the table.
  size_t max_keys = 50'000;
  // The maximum total size of the stored answers. For an answer that does not
  // fit, the table stores only that the request ran.
  size_t max_answer_bytes = 64 << 20;
  // Returns the time since which only this host may run requests with this
  // key, or nullopt if it may not. A time before the start of this host's
  // responsibility is valid only if the whole table of the previous host was
  // imported, or if it is certain that this is the key's first send.
  std::function<std::optional<TimePoint>(std::string_view key)>
      responsible_since;
};

// Guarantees that a key runs at most once, as long as consecutive sends of it
// are at most `resend_window` apart. Later sends are not protected, because
// memory is bounded: a key is removed once it has not been sent for
// `resend_window`, or at once if its run ended as `kNotRun`. While the table
// holds `max_keys` keys, requests with new keys are refused as not run, so the
// sustained rate is at most max_keys / resend_window new keys per second.
class IdempotencyTable {
 public:
  explicit IdempotencyTable(IdempotencyTableOptions options);

  // Decides what to do with one send of a key. `key` must be unique across
  // tenants and fronts, so it has to contain both. `request` identifies what is
  // requested. `deadline` is that of the run that this send may start; after
  // it, a run without a recorded result counts as ended with unknown outcome.
  //
  // Returns kAnswer with the stored result of a run that has ended, or with an
  // error of
  // - status 400, not run: the key was sent with another `request` before;
  // - status 503, not run: this host is not responsible for the key, or the
  //   table is full; `retry_after` is then the time until a key is removed;
  // - status 503, outcome unknown: the key may have run on an earlier host, or
  //   its run has passed its deadline without a result.
  BeginResult Begin(std::string_view key,
                    std::string_view request,
                    WaiterId waiter,
                    TimePoint now,
                    TimePoint deadline);

  // Records the result of a run that Begin() allowed, and returns the waiters
  // to answer with it; the caller that started the run is not among them. A key
  // whose result is `kNotRun` is removed and may run again. Only the first
  // result of a run counts; later calls change nothing and return no waiters.
  std::vector<WaiterId> Finish(std::string_view key,
                               const RecordResult& result,
                               TimePoint now);

  // Removes a waiter that no longer waits. Finish() does not return it.
  void RemoveWaiter(std::string_view key, WaiterId waiter);

  // Returns all keys, for a planned handover to another host. Keys that are
  // still running are exported with an unknown outcome. Begin() must not be
  // called any more.
  std::vector<IdempotencyRecord> Export(TimePoint now) const;
  // Adds keys that another host exported. Keys that are in the table already
  // are not changed.
  void Import(std::vector<IdempotencyRecord> records, TimePoint now);

  size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::string key;
    std::string request;
    TimePoint last_sent;
    TimePoint deadline;
    // Unset while the request runs.
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
  // Removes the keys that were last sent more than `resend_window` ago. A key
  // that is running is kept until its deadline, and so are all keys after it.
  void RemoveExpired(TimePoint now);
  void Erase(Entries::iterator entry);
  // Returns the time until the oldest key expires.
  Duration TimeUntilFreeEntry(TimePoint now) const;

  IdempotencyTableOptions options;
  // Ordered by the time of the last send, oldest first.
  Entries entries;
  // The map's keys refer to the strings in `entries`.
  std::unordered_map<std::string_view, Entries::iterator> by_key;
  // The total size of the stored answers.
  size_t answer_bytes = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_QUERY_IDEMPOTENCY_TABLE_H_
