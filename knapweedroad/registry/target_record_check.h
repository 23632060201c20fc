// Whether a target's record can be used, whoever wrote it: a target, another
// host, or a disk.

#ifndef KNAPWEEDROAD_REGISTRY_TARGET_RECORD_CHECK_H_
#define KNAPWEEDROAD_REGISTRY_TARGET_RECORD_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace knapweedroad {

struct TargetRecord;

// Of an id, a service, a zone or a version, in bytes.
inline constexpr size_t kMaxTargetNameBytes = 256;
// The largest whole number that every writer of JSON can tell from the next one
// (RFC 8259, 6). A larger sequence or start would supersede all later ones.
inline constexpr uint64_t kMaxTargetNumber = (uint64_t{1} << 53) - 1;

// Returns what is wrong with the record, naming the field; empty if nothing is.
// A record that only says that a target is gone needs no more than its id.
std::string WhyUnusable(const TargetRecord& record);

// Returns the same and logs it, with `source`: where the record came from.
bool IsUsableRecord(const TargetRecord& record, const std::string& source);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_TARGET_RECORD_CHECK_H_
