// Bytes of any cereal type, without exceptions.
//
//   std::string bytes = EncodeBytes(message);
//   auto message = DecodeBytes<AttemptCall>(bytes);
//
// EncodeBytes() is for what is kept on disk and for single messages,
// EncodeCompact() for what hosts tell each other all the time.
//
// Included by .cc files only: cereal is slow to compile.

#ifndef KNAPWEEDROAD_WIRE_CODEC_H_
#define KNAPWEEDROAD_WIRE_CODEC_H_

#include <exception>
#include <sstream>
#include <string>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <tl/expected.hpp>

#include "knapweedroad/wire/bounded_input.h"
#include "knapweedroad/wire/compact_archive.h"
#include "knapweedroad/wire/packed.h"

namespace knapweedroad {
namespace internal {

template <typename Archive, typename Value>
tl::expected<Value, std::string> Decode(std::string_view bytes) {
  Value value;
  try {
    Archive archive(bytes);
    archive(value);
    if (archive.left() > 0) {
      return tl::unexpected(std::string("bytes are left over"));
    }
  } catch (const std::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
  return value;
}

}  // namespace internal

template <typename Value>
std::string EncodeBytes(const Value& value) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(value);
  return std::move(out).str();
}

// Fails on short, long or malformed bytes; lengths inside them are checked
// before anything is allocated (bounded_input.h).
template <typename Value>
tl::expected<Value, std::string> DecodeBytes(std::string_view bytes) {
  return internal::Decode<internal::BoundedInputArchive, Value>(bytes);
}

// The same in fewer bytes, see compact_archive.h.
template <typename Value>
std::string EncodeCompact(const Value& value) {
  std::string bytes;
  internal::CompactOutputArchive archive(bytes);
  archive(value);
  return bytes;
}

template <typename Value>
tl::expected<Value, std::string> DecodeCompact(std::string_view bytes) {
  return internal::Decode<internal::CompactInputArchive, Value>(bytes);
}

// The same, compressed: for messages that cross zones often.
template <typename Value>
std::string EncodePacked(const Value& value) {
  return Pack(EncodeCompact(value));
}

template <typename Value>
tl::expected<Value, std::string> DecodePacked(std::string_view bytes) {
  const auto unpacked = Unpack(bytes);
  if (!unpacked) {
    return tl::unexpected(unpacked.error());
  }
  return DecodeCompact<Value>(*unpacked);
}

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_WIRE_CODEC_H_
