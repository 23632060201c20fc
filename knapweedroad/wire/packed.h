// Compresses messages that cross zones often.
//
//   std::string packed = Pack(bytes);
//   auto bytes = Unpack(packed);

#ifndef KNAPWEEDROAD_WIRE_PACKED_H_
#define KNAPWEEDROAD_WIRE_PACKED_H_

#include <cstddef>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace knapweedroad {

// No message is larger before it is packed; guards a reader's memory against a
// length that lies.
inline constexpr size_t kMostUnpacked = 64 << 20;

std::string Pack(std::string_view bytes);

// The error says that the bytes were not made by Pack().
tl::expected<std::string, std::string> Unpack(std::string_view packed);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_WIRE_PACKED_H_
