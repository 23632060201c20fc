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

bool ContainsHeader(std::string_view bytes) {
  const std::string magic = EncodeHeader({}).substr(0, sizeof(kMagic));
  size_t position = bytes.find(magic);
  while (position != std::string_view::npos) {
    if (ParseHeader(bytes.substr(position)).has_value()) {
      return true;
    }
    position = bytes.find(magic, position + 1);
  }
  return false;
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
    const std::string_view rest = bytes.substr(parsed.valid_bytes);
    const auto header = ParseNext(rest, parsed.records);
    if (!header.has_value()) {
      // The search skips the first byte, so that it does not find the header of
      // the invalid record itself.
      if (ContainsHeader(rest.substr(1))) {
        parsed.corruption_offset = parsed.valid_bytes;
      }
      return parsed;
    }
    if (header->kind == kKindRecord) {
      parsed.records.push_back(
          {header->sequence, rest.substr(kRecordHeaderBytes, header->length)});
    }
    parsed.valid_bytes += kRecordHeaderBytes + header->length;
  }
  return parsed;
}

}  // namespace knapweedroad
