#include "knapweedroad/wire/codec.h"

#include <sys/resource.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/wire/configuration_push.h"

namespace knapweedroad {
namespace {

long PeakMemoryKib() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

Test(Codec, ReadsWhatItWrites) {
  const ConfigurationPush push{
      .version = 8, .base_version = 7, .body = "patch", .checksum = 9};
  const auto read = DecodeBytes<ConfigurationPush>(EncodeBytes(push));
  cr_assert(read.has_value());
  cr_assert(read->body == push.body && read->checksum == push.checksum);
}

Test(Codec, EveryCutAndEveryExtraByteIsAnError) {
  const std::string bytes = EncodeBytes(ConfigurationPush{.body = "patch"});
  for (size_t size = 0; size < bytes.size(); ++size) {
    cr_assert(!DecodeBytes<ConfigurationPush>(bytes.substr(0, size)));
  }
  cr_assert(!DecodeBytes<ConfigurationPush>(bytes + "x"));
}

// A host dies, killed for its memory, with nothing in its log. Somebody sent
// it a datagram of 17 bytes whose length field says a gigabyte, and the host
// made room for it before it looked whether the bytes are there.
Test(Codec, ALengthThatLiesCostsNoMemory) {
  constexpr uint64_t kGigabyte = 1 << 30;
  std::string bytes = EncodeBytes(kGigabyte) + "12345678";
  const long before = PeakMemoryKib();
  cr_assert(!DecodeBytes<std::string>(bytes));
  cr_assert(!DecodeBytes<std::vector<std::string>>(bytes));
  cr_assert(!DecodeBytes<std::vector<uint64_t>>(bytes));
  cr_assert(PeakMemoryKib() - before < 100 << 10);
}

// Found by control_fuzz: a bool of 10 read as true in one place and as false
// in another.
Test(Codec, ABoolIsZeroOrOne) {
  std::string bytes = EncodeBytes(true);
  cr_assert(DecodeBytes<bool>(bytes) == true);
  bytes.back() = 10;
  cr_assert(!DecodeBytes<bool>(bytes));
}

struct Mixed {
  int64_t before = 0;
  uint16_t small = 0;
  double share = 0;
  bool is_set = false;
  std::string text;
  std::vector<uint32_t> numbers;
  std::optional<int32_t> maybe;

  friend bool operator==(const Mixed&, const Mixed&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->before, this->small, this->share, this->is_set, this->text,
            this->numbers, this->maybe);
  }
};

Mixed Extremes() {
  return {.before = std::numeric_limits<int64_t>::min(),
          .small = std::numeric_limits<uint16_t>::max(),
          .share = -0.25,
          .is_set = true,
          .text = std::string("a\0b", 3),
          .numbers = {0, 127, 128, std::numeric_limits<uint32_t>::max()},
          .maybe = -1};
}

Test(CompactCodec, ReadsWhatItWrites) {
  for (const Mixed& value : {Mixed(), Extremes()}) {
    const auto read = DecodeCompact<Mixed>(EncodeCompact(value));
    cr_assert(read.has_value());
    cr_assert(*read == value);
  }
}

Test(CompactCodec, SmallNumbersAndShortTextsTakeFewBytes) {
  cr_assert(EncodeCompact(uint64_t{100}).size() == 1);
  cr_assert(EncodeCompact(int64_t{-3}).size() == 1);
  cr_assert(EncodeCompact(std::string("ab")).size() == 3);
}

Test(CompactCodec, EveryCutAndEveryExtraByteIsAnError) {
  const std::string bytes = EncodeCompact(Extremes());
  for (size_t size = 0; size < bytes.size(); ++size) {
    cr_assert(!DecodeCompact<Mixed>(bytes.substr(0, size)));
  }
  cr_assert(!DecodeCompact<Mixed>(bytes + "x"));
}

// Guards against a number that loses its upper bits in a narrower field.
Test(CompactCodec, ANumberThatIsTooLargeForItsFieldIsAnError) {
  cr_assert(!DecodeCompact<uint16_t>(EncodeCompact(uint32_t{65536})));
  cr_assert(!DecodeCompact<int32_t>(EncodeCompact(int64_t{1} << 40)));
  cr_assert(!DecodeCompact<uint64_t>(std::string(9, '\xff') + "\x02"));
  cr_assert(!DecodeCompact<uint64_t>(std::string(11, '\x80') + "\x01"));
  cr_assert(!DecodeCompact<bool>("\x0a"));
}

// Guards against memory for a length that no bytes follow.
Test(CompactCodec, ALengthThatLiesCostsNoMemory) {
  constexpr uint64_t kGigabyte = 1 << 30;
  const std::string bytes = EncodeCompact(kGigabyte) + "12345678";
  const long before = PeakMemoryKib();
  cr_assert(!DecodeCompact<std::string>(bytes));
  cr_assert(!DecodeCompact<std::vector<std::string>>(bytes));
  cr_assert(!DecodeCompact<std::vector<uint64_t>>(bytes));
  cr_assert(PeakMemoryKib() - before < 100 << 10);
}

}  // namespace
}  // namespace knapweedroad
