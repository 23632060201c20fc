#include "knapweedroad/routing/record_merge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace knapweedroad {

std::string MergeRecords(std::span<const std::string_view> parts, size_t top) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (size_t offset = 0; offset + kRecordBytes <= part.size();
         offset += kRecordBytes) {
      records.push_back(part.substr(offset, kRecordBytes));
    }
  }
  const size_t count = std::min(top, records.size());
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(count),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  for (size_t i = 0; i < count; ++i) {
    merged += records[i];
  }
  return merged;
}

std::string KeepGreatestRecords(std::string part, size_t top) {
  if (part.size() / kRecordBytes <= top) {
    return part;
  }
  const std::string_view whole = part;
  return MergeRecords({&whole, 1}, top);
}

}  // namespace knapweedroad
