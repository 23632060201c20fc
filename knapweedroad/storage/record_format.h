// The layout of records in a file, without I/O.
//
//   std::string bytes = EncodeRecord(7, payload) + EncodeSyncMarker(7);
//   ParsedRecords parsed = ParseRecords(bytes);
//
// A record is a header of 40 bytes (magic, kind, sequence, length, hash of the
// payload, hash of the header; little-endian) and its payload. Once a record
// has been synced, a mark, a header without payload, follows it: a damaged
// record with something after it was synced, so it isn't a torn write.

#ifndef KNAPWEEDROAD_STORAGE_RECORD_FORMAT_H_
#define KNAPWEEDROAD_STORAGE_RECORD_FORMAT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedroad {

inline constexpr size_t kRecordHeaderBytes = 40;

struct ParsedRecord {
  uint64_t sequence = 0;
  std::string_view payload;
};

struct ParsedRecords {
  // Views into the parsed bytes.
  std::vector<ParsedRecord> records;
  // Where the whole records and marks end; what follows is a torn tail.
  size_t valid_bytes = 0;
  // The place of damage that is no torn tail.
  std::optional<size_t> corruption_offset;
};

std::string EncodeRecord(uint64_t sequence, std::string_view payload);

std::string EncodeSyncMarker(uint64_t sequence);

// Sequences rise by one from the first record on.
ParsedRecords ParseRecords(std::string_view bytes);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_STORAGE_RECORD_FORMAT_H_
