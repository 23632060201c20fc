// A libFuzzer target for ParseRecords(). It parses arbitrary bytes, and valid
// records with one corrupted byte, from which no record may be returned that
// was not written.
//
//   CC=clang-14 CXX=clang++-14 cmake -S . -B build-fuzz -G Ninja
//       -DKWR_FUZZ=ON -DKWR_SANITIZE=ON   (continues the line above)
//   ninja -C build-fuzz record_fuzz
//   build-fuzz/knapweedroad/storage/record_fuzz -runs=200000 -seed=1

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

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const ParsedRecords parsed = ParseRecords(bytes);
  Require(parsed.valid_bytes <= size);
  if (size >= 3) {
    CheckCorruptedRecords(bytes.substr(3), data[0] * 256 + data[1],
                          static_cast<char>(data[2]));
  }
  return 0;
}
