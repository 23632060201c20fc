// libFuzzer target: the reader of record files over any bytes, and over whole
// records that were damaged in one byte: never a record that wasn't written.
//
//   CC=clang-14 CXX=clang++-14 cmake -S . -B build-fuzz -G Ninja
//       -DKWR_FUZZ=ON -DKWR_SANITIZE=ON   (one line)
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

void CheckDamaged(std::string_view payload, size_t at, char flip) {
  std::string bytes;
  for (uint64_t sequence = 1; sequence <= 3; ++sequence) {
    bytes += EncodeRecord(sequence, payload) + EncodeSyncMark(sequence);
  }
  at %= bytes.size();
  const size_t each = bytes.size() / 3;
  bytes[at] = static_cast<char>(bytes[at] ^ flip);
  const ParsedRecords parsed = ParseRecords(bytes);
  const bool damage_in_last_mark = at >= bytes.size() - kRecordHeaderBytes;
  Require(flip == 0 || damage_in_last_mark ||
          parsed.damaged_at == (at / each) * each ||
          parsed.damaged_at == (at / each) * each + each - kRecordHeaderBytes);
  for (const ParsedRecord& record : parsed.records) {
    Require(record.payload == payload);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const ParsedRecords parsed = ParseRecords(bytes);
  Require(parsed.whole_bytes <= size);
  if (size >= 3) {
    CheckDamaged(bytes.substr(3), data[0] * 256 + data[1],
                 static_cast<char>(data[2]));
  }
  return 0;
}
