// Merges the parts of a scatter answer, each the records of one shard.
//
//   std::string body = MergeRecords(parts, 10);

#ifndef KNAPWEEDROAD_ROUTING_RECORD_MERGE_H_
#define KNAPWEEDROAD_ROUTING_RECORD_MERGE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace knapweedroad {

// Size of a record, whose bytes are also its sort key.
inline constexpr size_t kRecordBytes = 16;

// Returns the `top` greatest records of all parts by byte order, in descending
// order, or all records if there are fewer. Equal records are all included.
// Trailing bytes of a part that are shorter than a record are ignored.
std::string MergeRecords(std::span<const std::string_view> parts, size_t top);

// Returns the part with no more than its `top` greatest records, which are all
// that an answer can use of it.
std::string KeepGreatestRecords(std::string part, size_t top);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_RECORD_MERGE_H_
