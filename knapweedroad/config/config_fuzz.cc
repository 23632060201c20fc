// libFuzzer target: no bytes make the readers of settings crash, and what they
// accept is printed and read back unchanged.
//
//   CC=clang-14 CXX=clang++-14 cmake -S . -B build-fuzz -G Ninja
//       -DKWR_FUZZ=ON -DKWR_SANITIZE=ON -DKWR_CORE_ONLY=ON   (one line)
//   ninja -C build-fuzz config_fuzz
//   mkdir -p build-fuzz/corpus
//   build-fuzz/knapweedroad/config/config_fuzz -runs=200000 -seed=1
//       -max_len=16384 build-fuzz/corpus examples/be-centre
//       examples/be-centre/hosts   (one line)

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "knapweedroad/config/parse_deployment.h"
#include "knapweedroad/config/parse_host_settings.h"
#include "knapweedroad/config/print_deployment.h"

namespace {

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto deployment = knapweedroad::ParseDeployment(text, "fuzz");
  if (deployment) {
    const std::string printed = knapweedroad::PrintDeployment(*deployment);
    Require(knapweedroad::ParseDeployment(printed, "printed") == deployment);
  } else {
    Require(!deployment.error().empty());
  }
  const auto settings = knapweedroad::ParseHostSettings(text, "fuzz");
  Require(settings || !settings.error().empty());
  return 0;
}
