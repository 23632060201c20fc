#include "knapweedroad/wire/codec.h"

#include <sys/resource.h>

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

}  // namespace
}  // namespace knapweedroad
