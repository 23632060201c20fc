// Bytes of any cereal type, without exceptions.
//
//   std::string bytes = EncodeBytes(message);
//   auto message = DecodeBytes<AttemptCall>(bytes);
//
// Included by .cc files only: cereal is slow to compile.

#ifndef KNAPWEEDROAD_WIRE_CODEC_H_
#define KNAPWEEDROAD_WIRE_CODEC_H_

#include <exception>
#include <istream>
#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <tl/expected.hpp>

namespace knapweedroad {

template <typename Value>
std::string EncodeBytes(const Value& value) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(value);
  return std::move(out).str();
}

// Fails on short, long or malformed bytes. A length inside the bytes that
// asks for more than there is shows as an exception of the archive or of the
// allocator; both end here.
template <typename Value>
tl::expected<Value, std::string> DecodeBytes(std::string_view bytes) {
  std::istringstream in{std::string(bytes)};
  Value value;
  try {
    cereal::PortableBinaryInputArchive archive(in);
    archive(value);
  } catch (const std::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
  if (in.peek() != std::istringstream::traits_type::eof()) {
    return tl::unexpected(std::string("bytes are left over"));
  }
  return value;
}

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_WIRE_CODEC_H_
