#include "knapweedroad/storage/record_format.h"

#include <xxhash.h>

namespace knapweedroad {
namespace {

constexpr uint32_t kMagic = 0x4452574b;
constexpr uint32_t kKindRecord = 1;
constexpr uint32_t kKindMark = 2;
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
Number TakeNumber(std::string_view& bytes) {
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
  if (TakeNumber<uint32_t>(bytes) != kMagic) {
    return std::nullopt;
  }
  Header header;
  header.kind = TakeNumber<uint32_t>(bytes);
  header.sequence = TakeNumber<uint64_t>(bytes);
  header.length = TakeNumber<uint64_t>(bytes);
  header.payload_hash = TakeNumber<uint64_t>(bytes);
  if (TakeNumber<uint64_t>(bytes) != hash) {
    return std::nullopt;
  }
  return header;
}

bool HasHeader(std::string_view bytes) {
  const std::string magic = EncodeHeader({}).substr(0, sizeof(kMagic));
  size_t at = bytes.find(magic);
  while (at != std::string_view::npos) {
    if (ParseHeader(bytes.substr(at)).has_value()) {
      return true;
    }
    at = bytes.find(magic, at + 1);
  }
  return false;
}

// The header at the start of `bytes` if it is the next one in order and what
// belongs to it is whole.
std::optional<Header> ParseNext(std::string_view bytes,
                                const std::vector<ParsedRecord>& records) {
  const std::optional<Header> header = ParseHeader(bytes);
  if (!header.has_value()) {
    return std::nullopt;
  }
  if (header->kind == kKindMark) {
    const bool marks_last =
        !records.empty() && records.back().sequence == header->sequence;
    return marks_last ? header : std::nullopt;
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

std::string EncodeSyncMark(uint64_t sequence) {
  return EncodeHeader({.kind = kKindMark, .sequence = sequence});
}

ParsedRecords ParseRecords(std::string_view bytes) {
  ParsedRecords parsed;
  while (parsed.whole_bytes < bytes.size()) {
    const std::string_view rest = bytes.substr(parsed.whole_bytes);
    const auto header = ParseNext(rest, parsed.records);
    if (!header.has_value()) {
      // The first byte may belong to the damaged header itself.
      if (HasHeader(rest.substr(1))) {
        parsed.damaged_at = parsed.whole_bytes;
      }
      return parsed;
    }
    if (header->kind == kKindRecord) {
      parsed.records.push_back(
          {header->sequence, rest.substr(kRecordHeaderBytes, header->length)});
    }
    parsed.whole_bytes += kRecordHeaderBytes + header->length;
  }
  return parsed;
}

}  // namespace knapweedroad
