#include "knapweedroad/storage/record_format.h"

#include <xxhash.h>

namespace knapweedroad {
namespace {

constexpr uint32_t kMagic = 0x4452574b;
constexpr uint32_t kKindRecord = 1;
constexpr uint32_t kKindSyncMarker = 2;
constexpr size_t kHashedHeaderBytes = kRecordHeaderBytes - sizeof(uint64_t);

struct Header {
  uint32_t kind = 0;
  uint64_t sequence = 0;
  uint64_t length = 0;
  uint64_t payload_hash = 0;
};

template <typename Number>
void AppendNumber(std::string& bytes, Number number) {
  for (size_t i = 0; i < sizeof(Number); ++i) {
    bytes += static_cast<char>(number >> (8 * i));
  }
}

template <typename Number>
Number ReadNumber(std::string_view& bytes) {
  Number number = 0;
  for (size_t i = 0; i < sizeof(Number); ++i) {
    number |= static_cast<Number>(static_cast<unsigned char>(bytes[i]))
              << (8 * i);
  }
  bytes.remove_prefix(sizeof(Number));
  return number;
}

uint64_t Hash(std::string_view bytes) {
  return XXH64(bytes.data(), bytes.size(), kMagic);
}

std::string EncodeHeader(const Header& header) {
  std::string bytes;
  AppendNumber(bytes, kMagic);
  AppendNumber(bytes, header.kind);
  AppendNumber(bytes, header.sequence);
  AppendNumber(bytes, header.length);
  AppendNumber(bytes, header.payload_hash);
  AppendNumber(bytes, Hash(bytes));
  return bytes;
}

std::optional<Header> ParseHeader(std::string_view bytes) {
  if (bytes.size() < kRecordHeaderBytes) {
    return std::nullopt;
  }
  const uint64_t hash = Hash(bytes.substr(0, kHashedHeaderBytes));
  if (ReadNumber<uint32_t>(bytes) != kMagic) {
    return std::nullopt;
  }
  Header header;
  header.kind = ReadNumber<uint32_t>(bytes);
  header.sequence = ReadNumber<uint64_t>(bytes);
  header.length = ReadNumber<uint64_t>(bytes);
  header.payload_hash = ReadNumber<uint64_t>(bytes);
  if (ReadNumber<uint64_t>(bytes) != hash) {
    return std::nullopt;
  }
  return header;
}

// Returns the header at the start of `bytes` if it has the expected sequence
// number and its payload is complete and valid.
std::optional<Header> ParseNext(std::string_view bytes,
                                const std::vector<ParsedRecord>& records) {
  const std::optional<Header> header = ParseHeader(bytes);
  if (!header.has_value()) {
    return std::nullopt;
  }
  if (header->kind == kKindSyncMarker) {
    const bool follows_its_record =
        !records.empty() && records.back().sequence == header->sequence;
    return follows_its_record ? header : std::nullopt;
  }
  const bool in_order =
      records.empty() || records.back().sequence + 1 == header->sequence;
  bytes.remove_prefix(kRecordHeaderBytes);
  if (header->kind != kKindRecord || !in_order ||
      header->length > bytes.size() ||
      Hash(bytes.substr(0, header->length)) != header->payload_hash) {
    return std::nullopt;
  }
  return header;
}

// Whether `bytes`, which don't start with a valid record or marker, contain
// what is written only after the record behind `records` has been synced: its
// marker, or the header of a later record.
bool ProvesSyncOfNext(std::string_view bytes,
                      const std::vector<ParsedRecord>& records) {
  const uint64_t next = records.empty() ? 0 : records.back().sequence + 1;
  const std::string magic = EncodeHeader({}).substr(0, sizeof(kMagic));
  // A file's first record may have any number: its own header proves nothing.
  size_t position = bytes.find(magic, records.empty() ? 1 : 0);
  while (position != std::string_view::npos) {
    const auto header = ParseHeader(bytes.substr(position));
    if (header.has_value() &&
        (header->sequence > next ||
         (header->sequence == next && header->kind == kKindSyncMarker))) {
      return true;
    }
    position = bytes.find(magic, position + 1);
  }
  return false;
}

// Returns the header of the next record if it stands behind the place of the
// last record's marker and is valid.
std::optional<Header> ParseBehindMissingMarker(std::string_view bytes,
                                               const ParsedRecords& parsed) {
  if (parsed.records.empty() || parsed.ends_with_marker ||
      bytes.size() <= kRecordHeaderBytes) {
    return std::nullopt;
  }
  const auto header =
      ParseNext(bytes.substr(kRecordHeaderBytes), parsed.records);
  return header.has_value() && header->kind == kKindRecord ? header
                                                           : std::nullopt;
}

}  // namespace

std::string EncodeRecord(uint64_t sequence, std::string_view payload) {
  std::string bytes = EncodeHeader({.kind = kKindRecord,
                                    .sequence = sequence,
                                    .length = payload.size(),
                                    .payload_hash = Hash(payload)});
  bytes += payload;
  return bytes;
}

std::string EncodeSyncMarker(uint64_t sequence) {
  return EncodeHeader({.kind = kKindSyncMarker, .sequence = sequence});
}

ParsedRecords ParseRecords(std::string_view bytes) {
  ParsedRecords parsed;
  while (parsed.valid_bytes < bytes.size()) {
    std::string_view rest = bytes.substr(parsed.valid_bytes);
    size_t gap = 0;
    auto header = ParseNext(rest, parsed.records);
    if (!header.has_value()) {
      if (ProvesSyncOfNext(rest, parsed.records)) {
        parsed.corruption_offset = parsed.valid_bytes;
        return parsed;
      }
      gap = kRecordHeaderBytes;
      header = ParseBehindMissingMarker(rest, parsed);
      if (!header.has_value()) {
        return parsed;
      }
      rest.remove_prefix(gap);
    }
    parsed.ends_with_marker = header->kind == kKindSyncMarker;
    if (header->kind == kKindRecord) {
      parsed.records.push_back(
          {header->sequence, rest.substr(kRecordHeaderBytes, header->length)});
    }
    parsed.valid_bytes += gap + kRecordHeaderBytes + header->length;
  }
  return parsed;
}

}  // namespace knapweedroad
