// Merges the parts of a scatter's answer: the greatest records, greatest first.
//
//   std::string body = MergeRecords(parts, 10);

#ifndef KNAPWEEDROAD_ROUTING_RECORD_MERGE_H_
#define KNAPWEEDROAD_ROUTING_RECORD_MERGE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace knapweedroad {

inline constexpr size_t kRecordBytes = 16;

// The greatest `top` records of all parts by byte order, falling; equal ones
// each count. What is left at a part's end and is shorter than a record is no
// record.
std::string MergeRecords(std::span<const std::string_view> parts, size_t top);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_RECORD_MERGE_H_
