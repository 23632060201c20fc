// The encoding of records in a file, without I/O.
//
//   std::string bytes = EncodeRecord(7, payload) + EncodeSyncMarker(7);
//   ParsedRecords parsed = ParseRecords(bytes);
//
// A record consists of a header of 40 bytes (magic number, kind, sequence
// number, payload length, payload hash, header hash; little-endian) and its
// payload. Once a record has been synced, a sync marker, which is a header
// without a payload, is written after it. An invalid record that is followed by
// a valid header had therefore been synced: it is corrupted, not torn by an
// interrupted write.

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
  // The valid records, in order. Their payloads point into the parsed bytes.
  std::vector<ParsedRecord> records;
  // The length of the valid records and sync markers. Unless
  // `corruption_offset` is set, any bytes after them are a torn tail: the
  // remains of a write that was interrupted before the sync.
  size_t valid_bytes = 0;
  // The offset in bytes of a corrupted record or marker, if there is one. It
  // had been synced, so the caller must not discard it.
  std::optional<size_t> corruption_offset;
};

// Returns the header and the payload of a record.
std::string EncodeRecord(uint64_t sequence, std::string_view payload);

// Returns the marker to write once the record with this sequence number has
// been synced.
std::string EncodeSyncMarker(uint64_t sequence);

// Parses records and sync markers up to the first invalid one. The sequence
// numbers of the records must increase by one; the first may be any number.
ParsedRecords ParseRecords(std::string_view bytes);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_STORAGE_RECORD_FORMAT_H_
