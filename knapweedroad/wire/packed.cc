#include "knapweedroad/wire/packed.h"

#include <cstdint>

#include <zlib.h>

namespace knapweedroad {
namespace {

// A configuration of JSON, or a list of targets, shrinks five to ten times at
// the fastest level; higher levels save a few percent more.
constexpr int kLevel = 1;
// Smaller ones are left as they are: there is nothing to gain.
constexpr size_t kLeastPacked = 200;
constexpr char kPlain = 'p';
constexpr char kDeflated = 'z';
constexpr size_t kSizeBytes = 4;
constexpr size_t kHeadBytes = 1 + kSizeBytes;

}  // namespace

std::string Pack(std::string_view bytes) {
  if (bytes.size() < kLeastPacked) {
    return kPlain + std::string(bytes);
  }
  uLongf size = compressBound(bytes.size());
  std::string packed(kHeadBytes + size, kDeflated);
  for (size_t i = 0; i < kSizeBytes; ++i) {
    packed[1 + i] = static_cast<char>(bytes.size() >> (8 * i));
  }
  const int result = compress2(
      reinterpret_cast<Bytef*>(packed.data() + kHeadBytes), &size,
      reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), kLevel);
  if (result != Z_OK || kHeadBytes + size >= bytes.size()) {
    return kPlain + std::string(bytes);
  }
  packed.resize(kHeadBytes + size);
  return packed;
}

tl::expected<std::string, std::string> Unpack(std::string_view packed) {
  if (packed.empty()) {
    return tl::unexpected(std::string("no bytes to unpack"));
  }
  if (packed.front() == kPlain) {
    return std::string(packed.substr(1));
  }
  if (packed.front() != kDeflated || packed.size() < kHeadBytes) {
    return tl::unexpected(std::string("not a packed message"));
  }
  uint32_t size = 0;
  for (size_t i = 0; i < kSizeBytes; ++i) {
    size |= uint32_t{static_cast<unsigned char>(packed[1 + i])} << (8 * i);
  }
  // Deflate shrinks at most about a thousand times.
  constexpr size_t kMostRatio = 1100;
  if (size > kMostUnpacked || size > packed.size() * kMostRatio) {
    return tl::unexpected(std::string("an unpacked size that can't be"));
  }
  std::string bytes(size, '\0');
  uLongf made = size;
  const int result =
      uncompress(reinterpret_cast<Bytef*>(bytes.data()), &made,
                 reinterpret_cast<const Bytef*>(packed.data() + kHeadBytes),
                 packed.size() - kHeadBytes);
  if (result != Z_OK || made != size) {
    return tl::unexpected(std::string("damaged packed bytes"));
  }
  return bytes;
}

}  // namespace knapweedroad
