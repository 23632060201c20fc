// libFuzzer target: no bytes make the readers of control messages and stored
// votes crash, and what they accept is written and read back unchanged.
//
//   CC=clang-14 CXX=clang++-14 cmake -S . -B build-fuzz -G Ninja
//       -DKWR_FUZZ=ON -DKWR_SANITIZE=ON -DKWR_CORE_ONLY=ON   (one line)
//   ninja -C build-fuzz control_fuzz
//   build-fuzz/knapweedroad/control/control_fuzz -runs=500000 -seed=1

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "knapweedroad/control/acceptor_record.h"
#include "knapweedroad/control/control_messages.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace knapweedroad;  // NOLINT
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (const auto message = DecodeControlMessage(bytes)) {
    const std::string written = EncodeControlMessage(*message);
    const auto again = DecodeControlMessage(written);
    if (!again || EncodeControlMessage(*again) != written) {
      std::abort();
    }
  }
  if (const auto record = DecodeAcceptorRecord(bytes)) {
    if (DecodeAcceptorRecord(EncodeAcceptorRecord(*record)) != record) {
      std::abort();
    }
  }
  return 0;
}
