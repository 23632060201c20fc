// A libFuzzer target for ParseRecords(). It parses arbitrary bytes, valid
// records with one corrupted byte, and valid records of which a loss of power
// left a part of what followed the last sync. No record may be returned that
// was not written.
//
//   CC=clang-14 CXX=clang++-14 cmake -S . -B build-fuzz -G Ninja
//       -DKWR_FUZZ=ON -DKWR_SANITIZE=ON   (continues the line above)
//   ninja -C build-fuzz record_fuzz
//   build-fuzz/knapweedroad/storage/record_fuzz -runs=200000 -seed=1

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "knapweedroad/storage/record_format.h"

namespace {

using namespace knapweedroad;  // NOLINT

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

void CheckCorruptedRecords(std::string_view payload,
                           size_t offset,
                           char xor_mask) {
  std::string bytes;
  for (uint64_t sequence = 1; sequence <= 3; ++sequence) {
    bytes += EncodeRecord(sequence, payload) + EncodeSyncMarker(sequence);
  }
  offset %= bytes.size();
  const size_t entry_bytes = bytes.size() / 3;
  bytes[offset] = static_cast<char>(bytes[offset] ^ xor_mask);
  const ParsedRecords parsed = ParseRecords(bytes);
  const bool in_last_sync_marker = offset >= bytes.size() - kRecordHeaderBytes;
  Require(xor_mask == 0 || in_last_sync_marker ||
          parsed.corruption_offset == (offset / entry_bytes) * entry_bytes ||
          parsed.corruption_offset == (offset / entry_bytes) * entry_bytes +
                                          entry_bytes - kRecordHeaderBytes);
  for (const ParsedRecord& record : parsed.records) {
    Require(record.payload == payload);
  }
}

// The payload, and headers inside it that would prove too much.
std::string PayloadWithHeaders(std::string_view payload) {
  std::string text(payload.substr(0, payload.size() / 2));
  text += EncodeSyncMarker(3) + EncodeRecord(4, "");
  return text + std::string(payload.substr(payload.size() / 2));
}

// Keeps two synced records, and of the marker of the second and a third record
// the bytes in [kept, kept_end), with zeros before them.
void CheckLossOfPower(std::string_view payload, size_t kept, size_t length) {
  const std::string text = PayloadWithHeaders(payload);
  const std::string synced =
      EncodeRecord(1, text) + EncodeSyncMarker(1) + EncodeRecord(2, text);
  std::string tail = EncodeSyncMarker(2) + EncodeRecord(3, text);
  const size_t tail_bytes = tail.size();
  kept %= tail_bytes + 1;
  const size_t kept_end = std::min(tail_bytes, kept + length);
  tail.resize(kept_end);
  std::fill(tail.begin(), tail.begin() + static_cast<long>(kept), '\0');
  const std::string bytes = synced + tail;
  const ParsedRecords parsed = ParseRecords(bytes);
  Require(!parsed.corruption_offset.has_value());
  // Zeros at the start of a marker's place don't lose the record behind it.
  const bool is_third_whole =
      kept <= kRecordHeaderBytes && kept_end == tail_bytes;
  Require(parsed.records.size() == (is_third_whole ? 3 : 2));
  for (const ParsedRecord& record : parsed.records) {
    Require(record.payload == text);
  }
  // What Open() writes completes the file.
  std::string repaired = bytes.substr(0, parsed.valid_bytes);
  Require(parsed.unproven_offset + parsed.unproven.size() == repaired.size());
  repaired.replace(parsed.unproven_offset, parsed.unproven.size(),
                   parsed.unproven);
  if (!parsed.ends_with_marker) {
    repaired += EncodeSyncMarker(parsed.records.back().sequence);
  }
  Require(repaired == (synced + EncodeSyncMarker(2) + EncodeRecord(3, text) +
                       EncodeSyncMarker(3))
                          .substr(0, repaired.size()));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const ParsedRecords parsed = ParseRecords(bytes);
  Require(parsed.valid_bytes <= size);
  if (size >= 3) {
    CheckCorruptedRecords(bytes.substr(3), data[0] * 256 + data[1],
                          static_cast<char>(data[2]));
    CheckLossOfPower(bytes.substr(3), data[0], size_t{data[1]} * data[2]);
  }
  return 0;
}
