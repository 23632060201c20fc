// Checks a history of concurrent changes and reads of the versioned value.
//
//   std::vector<HistoryOperation> history = ...;   // as clients saw it
//   auto checked = CheckLinearizable(history);
//   if (!checked) Fail(checked.error());
//
// Times are of one clock, such as that of the one machine that all clients
// run on. A resend is an operation of its own with the same two ids.

#ifndef KNAPWEEDROAD_TESTING_LINEARIZABILITY_H_
#define KNAPWEEDROAD_TESTING_LINEARIZABILITY_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include <tl/expected.hpp>

namespace knapweedroad {

enum class HistoryKind : uint8_t { kChange, kRead };

// kOpen: never answered, or answered with "unknown". It may have taken effect
// at any time after its start, even after its client gave up, or never.
enum class HistoryResult : uint8_t { kOpen, kAccepted, kRejected };

struct HistoryOperation {
  HistoryKind kind = HistoryKind::kRead;
  // Of changes.
  std::string operator_id;
  std::string request_id;
  std::optional<uint64_t> base_version;
  // The configuration written or read; each change writes another one. Absent
  // where it isn't known.
  std::optional<std::string> text;
  int64_t start_ns = 0;
  // Unused while open.
  int64_t end_ns = 0;
  // A read that was answered is kAccepted.
  HistoryResult result = HistoryResult::kOpen;
  // Made or read; of a rejected change, the one in force when it was rejected.
  uint64_t version = 0;
  // Of a rejected change, if it was told.
  std::string winner_operator;
  std::string winner_request;
};

// Whether there is one order of all operations, in keeping with their times,
// in which each answer is true: every version was made once, by the change
// that was told so or by an open one; nobody saw an older version after a
// newer one had been seen; resends were answered alike. Exact where every
// change names a base version; otherwise it may pass a history in which only
// the choice between open changes that nobody read is impossible. The error
// names the operations that clash. Takes time linear in operations times
// versions.
tl::expected<void, std::string> CheckLinearizable(
    std::span<const HistoryOperation> history);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_LINEARIZABILITY_H_
