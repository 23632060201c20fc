// What a change costs on its way between hosts: bytes and processor time of
// differences and of whole texts.
//
//   bench_configuration_delta examples/be-centre/deployment.json

#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

#include <glog/logging.h>

#include "knapweedroad/host/configuration_keeper.h"

namespace knapweedroad {
namespace {

constexpr int kRuns = 200;

std::string Replaced(std::string text,
                     std::string_view piece,
                     std::string_view replacement) {
  return text.replace(text.find(piece), piece.size(), replacement);
}

void Require(const tl::expected<void, std::string>& done) {
  CHECK(done.has_value()) << done.error();
}

template <typename Work>
double MicrosecondsOf(const Work& work) {
  const auto start = std::chrono::steady_clock::now();
  for (int run = 0; run < kRuns; ++run) {
    work();
  }
  const std::chrono::duration<double, std::micro> all =
      std::chrono::steady_clock::now() - start;
  return all.count() / kRuns;
}

void Measure(const char* name,
             const std::string& before,
             const std::string& after) {
  const TimePoint now;
  ConfigurationKeeper ahead;
  Require(ahead.Offer(1, before, now));
  Require(ahead.Offer(2, after, now));
  for (const uint64_t base : {uint64_t{1}, uint64_t{0}}) {
    const ConfigurationPush push = ahead.PushFrom(base);
    ConfigurationKeeper behind;
    Require(behind.Offer(1, before, now));
    const double make = MicrosecondsOf([&] { ahead.PushFrom(base); });
    const double apply = MicrosecondsOf([&] {
      ConfigurationKeeper copy = behind;
      Require(copy.Apply(push, now));
    });
    std::printf(
        "%-12s %-10s %7zu bytes, made in %7.1f us, applied in %7.1f us\n", name,
        push.base_version == 0 ? "whole" : "difference", push.body.size(), make,
        apply);
  }
}

int Main(const char* path) {
  std::ifstream file(path);
  std::ostringstream stream;
  stream << file.rdbuf();
  const std::string text = stream.str();
  Measure("zone out", text, Replaced(text, "\"out\": false", "\"out\": true"));
  Measure("slots", text, Replaced(text, "\"slots\": 2", "\"slots\": 3"));
  return 0;
}

}  // namespace
}  // namespace knapweedroad

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fputs("bench_configuration_delta DEPLOYMENT\n", stderr);
    return 2;
  }
  FLAGS_minloglevel = google::GLOG_WARNING;
  return knapweedroad::Main(argv[1]);
}
