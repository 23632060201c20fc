#include <algorithm>
#include <cstdlib>
#include <string>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "knapweedroad/config/parse_deployment.h"
#include "knapweedroad/config/parse_host_settings.h"
#include "knapweedroad/config/print_deployment.h"

namespace knapweedroad {
namespace {

constexpr uint32_t kMaxCount = 1'000'000;

void FixSeed() {
  setenv("RC_PARAMS", "seed=17 max_success=300", 1);
}

template <typename Number>
Number AnyFrom(Number low, Number high) {
  return *rc::gen::inRange<Number>(low, high + 1);
}

// A name that no earlier call with another `number` has given.
std::string AnyName(uint32_t number) {
  const auto letter = rc::gen::elementOf(std::string("abz019.-_"));
  return *rc::gen::container<std::string>(5, letter) + std::to_string(number);
}

Duration AnyDuration(Duration low, Duration high) {
  return Duration(AnyFrom<int64_t>(low.count(), high.count()));
}

double AnyShare() {
  return AnyFrom<uint32_t>(1, kMaxCount - 1) / static_cast<double>(kMaxCount);
}

ServiceConfig AnyService(uint32_t number, Duration max_deadline) {
  ServiceConfig service{.name = ServiceId(AnyName(number))};
  service.searchers = AnyFrom<uint32_t>(1, kMaxCount);
  service.connections = AnyFrom<uint32_t>(1, kMaxCount);
  service.slots = AnyFrom<uint32_t>(1, service.connections);
  service.cold_slots = AnyFrom<uint32_t>(1, service.slots);
  service.connect_cost = AnyDuration(Duration(0), max_deadline - Duration(1));
  return service;
}

TenantConfig AnyTenant(uint32_t number) {
  TenantConfig tenant{.name = TenantId(AnyName(number))};
  tenant.weight = AnyFrom<uint32_t>(1, kMaxCount);
  for (uint32_t i = AnyFrom<uint32_t>(0, 2); i > 0; --i) {
    tenant.class_weights[AnyName(i)] = AnyFrom<uint32_t>(1, kMaxCount);
  }
  return tenant;
}

void AddSearchParts(FrontConfig& front) {
  front.policy =
      *rc::gen::element(AnswerPolicy::kTail, AnswerPolicy::kCoverage);
  if (front.policy == AnswerPolicy::kTail) {
    front.tail_target = AnyDuration(Duration(1), front.max_deadline);
  }
  front.minimum_coverage = AnyShare();
  for (uint32_t number = AnyFrom<uint32_t>(1, 3); number > 0; --number) {
    GenerationConfig& generation = front.generations.emplace_back();
    generation.number = number;
    for (const ServiceConfig& service : front.services) {
      generation.units[service.name] = AnyFrom<uint32_t>(1, kMaxCount);
    }
  }
}

FrontConfig AnyFront(uint32_t number) {
  FrontConfig front{.name = FrontId(AnyName(number))};
  front.kind = *rc::gen::element(FrontKind::kSearch, FrontKind::kRecords);
  front.max_deadline = AnyDuration(Duration(2), std::chrono::hours(1));
  front.default_deadline = AnyDuration(Duration(1), front.max_deadline);
  front.hedge_quantile = AnyShare();
  front.hedge_budget = AnyShare();
  front.retry_budget = AnyShare();
  for (uint32_t i = AnyFrom<uint32_t>(1, 2); i > 0; --i) {
    front.tenants.push_back(AnyTenant(i));
  }
  const bool search = front.kind == FrontKind::kSearch;
  for (uint32_t i = search ? AnyFrom<uint32_t>(1, 3) : 1; i > 0; --i) {
    front.services.push_back(AnyService(i, front.max_deadline));
  }
  if (search) {
    AddSearchParts(front);
  }
  return front;
}

DeploymentConfig AnyDeployment() {
  DeploymentConfig deployment{.name = AnyName(0)};
  for (uint32_t i = AnyFrom<uint32_t>(1, 3); i > 0; --i) {
    const bool out = *rc::gen::arbitrary<bool>();
    deployment.zones.push_back({.name = ZoneId(AnyName(i)), .out = out});
  }
  for (uint32_t i = AnyFrom<uint32_t>(1, 3); i > 0; --i) {
    deployment.fronts.push_back(AnyFront(i));
  }
  return deployment;
}

size_t LineCount(std::string_view text) {
  return 1 + static_cast<size_t>(std::count(text.begin(), text.end(), '\n'));
}

// Reads it as both files; every fault has a place inside the text.
void ReadAsBoth(std::string_view text) {
  const auto check = [text](const std::vector<ConfigError>& errors) {
    RC_ASSERT(!errors.empty());
    for (const ConfigError& error : errors) {
      RC_ASSERT(error.line >= 1 && error.line <= LineCount(text));
      RC_ASSERT(error.column >= 1 && error.column <= text.size() + 1);
      RC_ASSERT(error.ToString().find('\n') == std::string::npos);
    }
  };
  if (const auto deployment = ParseDeployment(text, "f"); !deployment) {
    check(deployment.error());
  }
  if (const auto settings = ParseHostSettings(text, "f"); !settings) {
    check(settings.error());
  }
}

Test(ConfigProperty, WhatIsPrintedReadsBackEqual) {
  FixSeed();
  const bool holds = rc::check([] {
    const DeploymentConfig deployment = AnyDeployment();
    const auto read = ParseDeployment(PrintDeployment(deployment), "f");
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == deployment);
  });
  cr_assert(holds);
}

Test(ConfigProperty, NoBytesMakeAReaderThrowOrCrash) {
  FixSeed();
  const bool holds =
      rc::check([](const std::string& bytes) { ReadAsBoth(bytes); });
  cr_assert(holds);
}

Test(ConfigProperty, NoDamageToAFileMakesAReaderThrowOrCrash) {
  FixSeed();
  const bool holds = rc::check([](const std::string& bytes) {
    std::string text = PrintDeployment(AnyDeployment());
    const auto place = AnyFrom<size_t>(0, text.size() - 1);
    text.replace(place, AnyFrom<size_t>(0, 20), bytes);
    ReadAsBoth(text);
  });
  cr_assert(holds);
}

}  // namespace
}  // namespace knapweedroad
