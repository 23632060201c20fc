// A cereal archive whose whole numbers and lengths take as few bytes as their
// values need: most of what hosts tell each other are small numbers and short
// texts.
//
//   std::string bytes;
//   CompactOutputArchive out(bytes);
//   out(value);
//   CompactInputArchive in(bytes);   // throws what cereal throws
//   in(value);
//
// Whole numbers of more than one byte are written seven bits a byte, the lowest
// first; signed ones with their sign in the lowest bit.
//
// Included by codec.h only.

#ifndef KNAPWEEDROAD_WIRE_COMPACT_ARCHIVE_H_
#define KNAPWEEDROAD_WIRE_COMPACT_ARCHIVE_H_

#include <bit>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>

#include <cereal/cereal.hpp>

namespace knapweedroad::internal {

class CompactOutputArchive
    : public cereal::OutputArchive<CompactOutputArchive,
                                   cereal::AllowEmptyClassElision> {
 public:
  explicit CompactOutputArchive(std::string& bytes)
      : OutputArchive(this), bytes(bytes) {}

  void PutRaw(std::string_view raw) { this->bytes += raw; }

  void PutNumber(uint64_t number) {
    while (number > kSevenBits) {
      this->bytes += static_cast<char>((number & kSevenBits) | kMoreFollows);
      number >>= kBitsAByte;
    }
    this->bytes += static_cast<char>(number);
  }

  static constexpr uint64_t kSevenBits = 0x7f;
  static constexpr uint64_t kMoreFollows = 0x80;
  static constexpr unsigned kBitsAByte = 7;

 private:
  std::string& bytes;
};

// Lengths are checked before anything is allocated, as in BoundedInputArchive.
class CompactInputArchive
    : public cereal::InputArchive<CompactInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit CompactInputArchive(std::string_view bytes)
      : InputArchive(this), bytes(bytes) {}

  std::string_view TakeRaw(uint64_t size) {
    this->Require(size);
    const std::string_view raw = this->bytes.substr(0, size);
    this->bytes.remove_prefix(size);
    return raw;
  }

  uint64_t TakeNumber() {
    constexpr unsigned kBits = 64;
    uint64_t number = 0;
    for (unsigned shift = 0; shift < kBits;
         shift += CompactOutputArchive::kBitsAByte) {
      const uint64_t byte = static_cast<uint8_t>(this->TakeRaw(1).front());
      const uint64_t part = byte & CompactOutputArchive::kSevenBits;
      if (part << shift >> shift != part) {
        break;
      }
      number |= part << shift;
      if ((byte & CompactOutputArchive::kMoreFollows) == 0) {
        return number;
      }
    }
    throw cereal::Exception("a number of more than 64 bits");
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
};

}  // namespace knapweedroad::internal

// Tell cereal which archive wrote what the other one reads.
template <>
struct cereal::traits::detail::get_output_from_input<
    knapweedroad::internal::CompactInputArchive> {
  using type = knapweedroad::internal::CompactOutputArchive;
};
template <>
struct cereal::traits::detail::get_input_from_output<
    knapweedroad::internal::CompactOutputArchive> {
  using type = knapweedroad::internal::CompactInputArchive;
};

namespace knapweedroad::internal {

template <typename Number>
using BitsOf =
    std::conditional_t<sizeof(Number) == sizeof(uint64_t), uint64_t, uint32_t>;

// Zero, minus one, one, minus two: 0, 1, 2, 3.
inline uint64_t FoldSign(int64_t number) {
  return (static_cast<uint64_t>(number) << 1) ^
         static_cast<uint64_t>(number < 0 ? -1 : 0);
}

inline int64_t UnfoldSign(uint64_t folded) {
  return static_cast<int64_t>((folded >> 1) ^ (~(folded & 1) + 1));
}

// What cereal looks up for each kind of value.
template <typename Number>
std::enable_if_t<std::is_arithmetic_v<Number>> save(
    CompactOutputArchive& archive,
    const Number& number) {
  if constexpr (std::is_floating_point_v<Number>) {
    archive.PutNumber(std::bit_cast<BitsOf<Number>>(number));
  } else if constexpr (sizeof(Number) == 1) {
    const char byte = static_cast<char>(number);
    archive.PutRaw({&byte, 1});
  } else if constexpr (std::is_signed_v<Number>) {
    archive.PutNumber(FoldSign(number));
  } else {
    archive.PutNumber(number);
  }
}

template <typename Number>
std::enable_if_t<std::is_arithmetic_v<Number>> load(
    CompactInputArchive& archive,
    Number& number) {
  if constexpr (std::is_same_v<Number, bool>) {
    const char byte = archive.TakeRaw(1).front();
    if (byte != 0 && byte != 1) {
      throw cereal::Exception("a bool is neither 0 nor 1");
    }
    number = byte == 1;
  } else if constexpr (sizeof(Number) == 1) {
    number = static_cast<Number>(archive.TakeRaw(1).front());
  } else {
    using Bits = std::conditional_t<std::is_floating_point_v<Number>,
                                    BitsOf<Number>, uint64_t>;
    const uint64_t taken = archive.TakeNumber();
    if (taken > std::numeric_limits<Bits>::max()) {
      throw cereal::Exception("a number is too large for its field");
    }
    if constexpr (std::is_floating_point_v<Number>) {
      number = std::bit_cast<Number>(static_cast<Bits>(taken));
    } else {
      number = static_cast<Number>(std::is_signed_v<Number>
                                       ? UnfoldSign(taken)
                                       : static_cast<int64_t>(taken));
      const bool fits = std::is_signed_v<Number>
                            ? FoldSign(static_cast<int64_t>(number)) == taken
                            : static_cast<uint64_t>(number) == taken;
      if (!fits) {
        throw cereal::Exception("a number is too large for its field");
      }
    }
  }
}

template <typename Value>
void save(CompactOutputArchive& archive,
          const cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <typename Value>
void load(CompactInputArchive& archive, cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <typename Size>
void save(CompactOutputArchive& archive, const cereal::SizeTag<Size>& tag) {
  archive.PutNumber(tag.size);
}

// Every element that the project sends takes at least one byte.
template <typename Size>
void load(CompactInputArchive& archive, cereal::SizeTag<Size>& tag) {
  tag.size = archive.TakeNumber();
  archive.Require(tag.size);
}

template <typename Element>
void save(CompactOutputArchive& archive,
          const cereal::BinaryData<Element>& data) {
  using Value = std::remove_cv_t<std::remove_pointer_t<std::decay_t<Element>>>;
  if constexpr (sizeof(Value) == 1) {
    archive.PutRaw({reinterpret_cast<const char*>(data.data),
                    static_cast<size_t>(data.size)});
  } else {
    const auto* const values = reinterpret_cast<const Value*>(data.data);
    for (size_t i = 0; i < data.size / sizeof(Value); ++i) {
      archive(values[i]);
    }
  }
}

template <typename Element>
void load(CompactInputArchive& archive, cereal::BinaryData<Element>& data) {
  using Value = std::remove_pointer_t<std::decay_t<Element>>;
  if constexpr (sizeof(Value) == 1) {
    const std::string_view raw = archive.TakeRaw(data.size);
    raw.copy(reinterpret_cast<char*>(data.data), raw.size());
  } else {
    auto* const values = reinterpret_cast<Value*>(data.data);
    for (size_t i = 0; i < data.size / sizeof(Value); ++i) {
      archive(values[i]);
    }
  }
}

}  // namespace knapweedroad::internal

#endif  // KNAPWEEDROAD_WIRE_COMPACT_ARCHIVE_H_
