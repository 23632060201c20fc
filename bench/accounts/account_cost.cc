// What client accounts cost a host: the time to read a configuration, the
// memory of its table, and the look-up of a key.
//
//   account_cost [ACCOUNTS]   (10000, with two keys each)

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "knapweedroad/accounts/account_table.h"
#include "knapweedroad/routing/route_table.h"
#include "platform/read_configuration.h"
#include "platform/sample_accounts.h"

namespace knapweedroad {
namespace {

constexpr size_t kDefaultAccounts = 10'000;
constexpr size_t kKeysPerAccount = 2;
constexpr size_t kLookups = 2'000'000;
constexpr int kReads = 5;

using Clock = std::chrono::steady_clock;

double MillisecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

RoutingConfig Read(const std::string& text) {
  auto config = platform::ReadConfiguration(text);
  if (!config) {
    std::fprintf(stderr, "the configuration can't be read\n");
    std::exit(1);
  }
  return *std::move(config);
}

template <typename Work>
void PrintMedian(const char* name, const Work& work) {
  std::vector<double> took;
  for (int i = 0; i < kReads; ++i) {
    const auto start = Clock::now();
    work();
    took.push_back(MillisecondsSince(start));
  }
  std::ranges::sort(took);
  std::printf("%s: %.1f ms (median of %d)\n", name, took[took.size() / 2],
              kReads);
}

// Entry hosts read the text and make the table; control hosts read and check.
void MeasureReading(const std::string& text) {
  std::printf("text: %zu bytes\n", text.size());
  const RoutingConfig config = Read(text);
  PrintMedian("read", [&] { Read(text); });
  PrintMedian("read and make the table", [&] { RouteTable table(Read(text)); });
  PrintMedian("check", [&] {
    if (!CheckRouting(config).empty()) {
      std::fprintf(stderr, "the configuration is invalid\n");
      std::exit(1);
    }
  });
}

void MeasureLookup(const AccountTable& table, size_t accounts) {
  std::vector<std::string> keys;
  for (size_t i = 0; i < accounts * kKeysPerAccount; ++i) {
    keys.push_back(platform::SampleKey(i));
  }
  std::ranges::shuffle(keys, std::mt19937(1));
  size_t found = 0;
  const auto start = Clock::now();
  for (size_t i = 0; i < kLookups; ++i) {
    found += table.FindByKey(keys[i % keys.size()]) != nullptr ? 1 : 0;
  }
  constexpr double kNanosecondsPerMillisecond = 1e6;
  std::printf("look-up: %.0f ns (%zu of %zu found)\n",
              MillisecondsSince(start) * kNanosecondsPerMillisecond / kLookups,
              found, kLookups);
}

void Measure(size_t accounts) {
  const std::string text =
      platform::SampleConfiguration(accounts, kKeysPerAccount);
  MeasureReading(text);
  const size_t before = mallinfo2().uordblks;
  const auto table = std::make_unique<RouteTable>(Read(text));
  std::printf("memory: %zu bytes for %zu accounts with %zu keys each\n",
              mallinfo2().uordblks - before, accounts, kKeysPerAccount);
  MeasureLookup(*table->accounts(), accounts);
}

}  // namespace
}  // namespace knapweedroad

int main(int argc, char** argv) {
  const size_t accounts = argc > 1 ? std::strtoul(argv[1], nullptr, 10)
                                   : knapweedroad::kDefaultAccounts;
  if (accounts == 0) {
    std::fprintf(stderr, "usage: account_cost [ACCOUNTS]\n");
    return 1;
  }
  knapweedroad::Measure(accounts);
  return 0;
}
