#include "knapweedroad/storage/record_format.h"

#include <algorithm>

#include <xxhash.h>

namespace knapweedroad {
namespace {

constexpr uint32_t kMagic = 0x4452574b;
constexpr std::string_view kMagicBytes = "KWRD";
constexpr uint32_t kKindRecord = 1;
constexpr uint32_t kKindSyncMarker = 2;
constexpr uint32_t kKindEscapedRecord = 3;
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

// Puts a zero after each start of the magic number, so that no header can stand
// in the result.
std::string Escape(std::string_view payload) {
  const std::string_view start = kMagicBytes.substr(0, kMagicBytes.size() - 1);
  std::string escaped;
  while (!payload.empty()) {
    const size_t found = payload.find(start);
    const bool is_found = found != std::string_view::npos;
    const size_t copied = is_found ? found + start.size() : payload.size();
    escaped += payload.substr(0, copied);
    payload.remove_prefix(copied);
    if (is_found) {
      escaped += '\0';
    }
  }
  return escaped;
}

std::string Unescape(std::string_view escaped) {
  const std::string_view start = kMagicBytes.substr(0, kMagicBytes.size() - 1);
  std::string payload;
  while (!escaped.empty()) {
    const size_t found = escaped.find(start);
    const bool is_found = found != std::string_view::npos;
    const size_t copied = is_found ? found + start.size() : escaped.size();
    payload += escaped.substr(0, copied);
    escaped.remove_prefix(std::min(escaped.size(), copied + 1));
  }
  return payload;
}

bool IsRecord(const Header& header) {
  return header.kind == kKindRecord || header.kind == kKindEscapedRecord;
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
  if (!IsRecord(*header) || !in_order || header->length > bytes.size() ||
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
  // A file's first record may have any number: its own header proves nothing.
  size_t position = bytes.find(kMagicBytes, records.empty() ? 1 : 0);
  while (position != std::string_view::npos) {
    const auto header = ParseHeader(bytes.substr(position));
    if (header.has_value() &&
        (header->sequence > next ||
         (header->sequence == next && header->kind == kKindSyncMarker))) {
      return true;
    }
    position = bytes.find(kMagicBytes, position + 1);
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
  return header.has_value() && IsRecord(*header) ? header : std::nullopt;
}

}  // namespace

std::string EncodeRecord(uint64_t sequence, std::string_view payload) {
  const bool is_escaped = payload.find(kMagicBytes) != std::string_view::npos;
  const std::string escaped = is_escaped ? Escape(payload) : std::string();
  const std::string_view stored = is_escaped ? escaped : payload;
  std::string bytes =
      EncodeHeader({.kind = is_escaped ? kKindEscapedRecord : kKindRecord,
                    .sequence = sequence,
                    .length = stored.size(),
                    .payload_hash = Hash(stored)});
  bytes += stored;
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
    const bool is_marker = header->kind == kKindSyncMarker;
    const std::string_view entry =
        rest.substr(0, kRecordHeaderBytes + header->length);
    if (!is_marker && (gap > 0 || parsed.ends_with_marker)) {
      parsed.unproven_offset = parsed.valid_bytes + gap - kRecordHeaderBytes;
      parsed.unproven = EncodeSyncMarker(header->sequence - 1);
    } else {
      parsed.unproven_offset = parsed.valid_bytes;
      parsed.unproven.clear();
    }
    parsed.unproven += entry;
    parsed.ends_with_marker = is_marker;
    if (!is_marker) {
      const std::string_view stored = entry.substr(kRecordHeaderBytes);
      parsed.records.push_back(
          {header->sequence, header->kind == kKindEscapedRecord
                                 ? Unescape(stored)
                                 : std::string(stored)});
    }
    parsed.valid_bytes += gap + entry.size();
  }
  return parsed;
}

}  // namespace knapweedroad
