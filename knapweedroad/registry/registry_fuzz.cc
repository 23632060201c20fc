// libFuzzer target: the decoders of messages about targets, hosts, versions and
// rollouts must not crash on any input, and accepted input must survive
// encoding and decoding unchanged. The first byte selects the message.
//
//   cmake -S . -B build-fuzz -G Ninja -DKWR_FUZZ=ON -DKWR_SANITIZE=ON
//       -DKWR_CORE_ONLY=ON -DCMAKE_C_COMPILER=clang-14
//       -DCMAKE_CXX_COMPILER=clang++-14   (one line)
//   ninja -C build-fuzz registry_fuzz
//   build-fuzz/knapweedroad/registry/registry_fuzz -runs=500000 -seed=1

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "knapweedroad/registry/agreed_state.h"
#include "knapweedroad/registry/watch_messages.h"
#include "knapweedroad/rollout/rollout_messages.h"
#include "knapweedroad/routing/loss_report.h"
#include "knapweedroad/wire/codec.h"

namespace knapweedroad {
namespace {

template <typename Message>
void CheckRoundTrip(std::string_view bytes) {
  const auto message = DecodePacked<Message>(bytes);
  if (!message) {
    return;
  }
  const std::string written = EncodePacked(*message);
  const auto decoded_again = DecodePacked<Message>(written);
  if (!decoded_again || EncodePacked(*decoded_again) != written) {
    std::abort();
  }
}

void CheckAgreedStateRoundTrip(std::string_view bytes) {
  const auto state = DecodeAgreedState(bytes);
  if (!state) {
    return;
  }
  const std::string written = EncodeAgreedState(*state);
  const auto decoded_again = DecodeAgreedState(written);
  if (!decoded_again || EncodeAgreedState(*decoded_again) != written) {
    std::abort();
  }
}

}  // namespace
}  // namespace knapweedroad

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace knapweedroad;  // NOLINT
  if (size == 0) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(data + 1),
                               size - 1);
  switch (data[0] % 8) {
    case 0:
      CheckRoundTrip<WatchCall>(bytes);
      break;
    case 1:
      CheckRoundTrip<WatchReply>(bytes);
      break;
    case 2:
      CheckRoundTrip<PullReply>(bytes);
      break;
    case 3:
      CheckRoundTrip<OutcomeReport>(bytes);
      break;
    case 4:
      CheckRoundTrip<RolloutReport>(bytes);
      break;
    case 5:
      CheckRoundTrip<RolloutReportReply>(bytes);
      break;
    case 6:
      CheckRoundTrip<LossReport>(bytes);
      break;
    default:
      CheckAgreedStateRoundTrip(bytes);
      break;
  }
  return 0;
}
