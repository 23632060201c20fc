// The encoding of records in a file, without I/O.
//
//   std::string bytes = EncodeRecord(7, payload) + EncodeSyncMarker(7);
//   ParsedRecords parsed = ParseRecords(bytes);
//
// A record consists of a header of 40 bytes (magic number, kind, sequence
// number, payload length, payload hash, header hash; little-endian) and its
// payload. Once a record has been synced, a sync marker, which is a header
// without a payload, is written after it.
//
// The marker of a record and the whole next record are synced together, so a
// loss of power may leave any part of the two. What proves that a record had
// been synced is its own marker or the header of a later record: an invalid
// record before such a proof is corrupted. Without a proof it is a torn write.
// A payload that holds the magic number is stored escaped, since its bytes
// could be taken for such a proof. A missing marker is the mark of a loss of
// power unless something proves that the next record, and so the marker, had
// been synced.

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
  std::string payload;
};

struct ParsedRecords {
  // The valid records, in order.
  std::vector<ParsedRecord> records;
  // The length of the valid records and sync markers, including the place of a
  // missing marker before the last record. Unless `corruption_offset` is set,
  // any bytes after them are a torn tail: the remains of a write that was
  // interrupted before the sync.
  size_t valid_bytes = 0;
  // Whether the bytes end with the marker of the last record: no bytes after
  // the last sync are missing or torn.
  bool ends_with_marker = false;
  // What nothing proves to be on the disk, though it is valid: the last marker,
  // or the last record and the marker before it. `unproven` holds the bytes as
  // they have to be from `unproven_offset` to `valid_bytes`.
  size_t unproven_offset = 0;
  std::string unproven;
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
