// Reads what cereal's portable binary archive wrote, from bytes that may be
// anything.
//
//   BoundedInputArchive archive(bytes);   // throws what cereal throws
//   archive(value);
//
// Included by codec.h only.

#ifndef KNAPWEEDROAD_WIRE_BOUNDED_INPUT_H_
#define KNAPWEEDROAD_WIRE_BOUNDED_INPUT_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

namespace knapweedroad::internal {

// Guards against lengths that lie. cereal's own archive makes a string as long
// as its length field says and only then reads: a datagram of 20 bytes makes
// the host fill gigabytes and be killed for memory. Here a length above the
// bytes that are left is an error before anything is allocated; every element
// that the project sends takes at least one byte.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes)
      : InputArchive(this), bytes(bytes) {
    uint8_t writer_is_little_endian = 0;
    this->Load(&writer_is_little_endian, 1, 1);
    this->swap = writer_is_little_endian !=
                 cereal::portable_binary_detail::is_little_endian();
  }

  // `size` bytes, in elements of `element` bytes.
  void Load(void* to, size_t size, size_t element) {
    this->Require(size);
    std::memcpy(to, this->bytes.data(), size);
    this->bytes.remove_prefix(size);
    if (this->swap) {
      auto* const begin = static_cast<std::byte*>(to);
      for (size_t at = 0; at < size; at += element) {
        std::reverse(begin + at, begin + at + element);
      }
    }
  }

  // Throws unless so many bytes are left.
  void Require(uint64_t size) const {
    if (size > this->bytes.size()) {
      throw cereal::Exception("a length is beyond the end of the bytes");
    }
  }

  size_t left() const { return this->bytes.size(); }

 private:
  std::string_view bytes;
  bool swap = false;
};

}  // namespace knapweedroad::internal

// Tells cereal which archive wrote what this one reads.
template <>
struct cereal::traits::detail::get_output_from_input<
    knapweedroad::internal::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

namespace knapweedroad::internal {

// What cereal looks up for each kind of value.
template <typename Number>
std::enable_if_t<std::is_arithmetic_v<Number>> load(
    BoundedInputArchive& archive,
    Number& number) {
  if constexpr (std::is_same_v<Number, bool>) {
    // Any other byte in a bool is undefined behaviour at its first use.
    uint8_t byte = 0;
    archive.Load(&byte, 1, 1);
    if (byte > 1) {
      throw cereal::Exception("a bool is neither 0 nor 1");
    }
    number = byte == 1;
  } else {
    archive.Load(&number, sizeof(number), sizeof(number));
  }
}

template <typename Value>
void load(BoundedInputArchive& archive, cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <typename Size>
void load(BoundedInputArchive& archive, cereal::SizeTag<Size>& tag) {
  archive(tag.size);
  archive.Require(tag.size);
}

template <typename Element>
void load(BoundedInputArchive& archive, cereal::BinaryData<Element>& data) {
  using Value = std::remove_pointer_t<std::decay_t<Element>>;
  archive.Load(data.data, static_cast<size_t>(data.size), sizeof(Value));
}

}  // namespace knapweedroad::internal

#endif  // KNAPWEEDROAD_WIRE_BOUNDED_INPUT_H_
