#include "operators/deployment.h"

#include <chrono>
#include <sstream>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/config/parse_deployment.h"

namespace knapweedroad::operators {
namespace {

using namespace std::chrono_literals;

// Checks what doesn't compile: a consteval constructor call that throws isn't a
// constant expression, and an aggregate can't be initialized without its
// required fields.

template <auto kValue, typename Type>
concept Accepts = requires {
  typename std::bool_constant<(Type(kValue), true)>;
};

static_assert(Accepts<1U, Slots> && !Accepts<0U, Slots>);
static_assert(!std::is_convertible_v<uint32_t, Slots>);
static_assert(!std::is_convertible_v<Connections, Slots>);
static_assert(!std::is_convertible_v<int, PositiveDuration>);
static_assert(!std::is_default_constructible_v<OneOrMore<Zone>>);
static_assert(!std::is_constructible_v<Name, std::string>);

template <int kPercent, typename Type>
concept AcceptsPercent = requires {
  typename std::bool_constant<(Type(kPercent / 100.0), true)>;
};
static_assert(AcceptsPercent<100, Fraction> && !AcceptsPercent<101, Fraction>);
static_assert(AcceptsPercent<0, Fraction> && !AcceptsPercent<-1, Fraction>);
static_assert(AcceptsPercent<99, Quantile> && !AcceptsPercent<100, Quantile>);
static_assert(!AcceptsPercent<0, Quantile>);

template <int64_t kMilliseconds>
concept IsPositive = requires {
  typename std::bool_constant<(
      PositiveDuration(std::chrono::milliseconds(kMilliseconds)), true)>;
};
static_assert(IsPositive<1> && !IsPositive<0> && !IsPositive<-1>);

template <uint32_t kSlots, uint32_t kConnections, uint32_t kColdSlots>
concept IsValidCapacity = requires {
  typename std::bool_constant<(
      Capacity({.slots = Slots(kSlots),
                .connections = Connections(kConnections),
                .cold_slots = ColdSlots(kColdSlots)}),
      true)>;
};
static_assert(IsValidCapacity<2, 2, 2>);
static_assert(!IsValidCapacity<3, 2, 1>);
static_assert(!IsValidCapacity<2, 2, 3>);

template <int64_t kDefaultDeadline, int64_t kMaxDeadline>
concept AreValidDeadlines = requires {
  typename std::bool_constant<(
      Deadlines(
          {.default_deadline = std::chrono::milliseconds(kDefaultDeadline),
           .max_deadline = std::chrono::milliseconds(kMaxDeadline)}),
      true)>;
};
static_assert(AreValidDeadlines<2, 2> && !AreValidDeadlines<3, 2>);

template <typename Options>
concept IsDefaultInitializable = requires {
  Options{};
};
static_assert(!IsDefaultInitializable<SearchFrontOptions>);
static_assert(!IsDefaultInitializable<RecordsFrontOptions>);
static_assert(!IsDefaultInitializable<Service> &&
              !IsDefaultInitializable<Generation>);
static_assert(!IsDefaultInitializable<Tenant> &&
              !IsDefaultInitializable<Deployment>);

template <typename Options>
concept HasGenerations = requires(Options options) {
  options.generations;
};
static_assert(HasGenerations<SearchFrontOptions>);
static_assert(!HasGenerations<RecordsFrontOptions>);

constexpr Capacity kSearcher({.slots = Slots(2),
                              .connections = Connections(25)});

Service AnyService(Name name) {
  return {.name = name, .searchers = Searchers(3), .capacity = kSearcher};
}

SearchFrontOptions AnyFront(const OneOrMore<Generation>& generations) {
  return {
      .name = "redactie",
      .deadlines = Deadlines({.default_deadline = 400ms, .max_deadline = 2s}),
      .policy = CoveragePolicy{},
      .tenants = {Tenant{.name = "editors"}},
      .generations = generations};
}

Deployment DeploymentWith(SearchFrontOptions front) {
  return {.name = "d",
          .zones = {Zone{.name = "leuven"}},
          .fronts = {Front(std::move(front))}};
}

Generation AnyGeneration(const OneOrMore<Service>& services) {
  return {.number = GenerationNumber(1),
          .units = EqualUnits(services, Units(10))};
}

// Returns the deployment's error and requires that there is only one.
std::string OnlyError(const Deployment& deployment) {
  const auto text = ToConfiguration(deployment);
  cr_assert(!text.has_value());
  cr_assert(text.error().size() == 1);
  return text.error()[0].ToString();
}

std::vector<std::string> PrintedLines(const Deployment& deployment) {
  std::istringstream text(ToConfiguration(deployment).value());
  std::vector<std::string> lines;
  for (std::string line; std::getline(text, line);) {
    lines.push_back(line);
  }
  return lines;
}

Test(Deployment, PrintedConfigurationParses) {
  const auto services = NumberedServices(ServiceCount(3), AnyService("s"));
  const auto text =
      ToConfiguration(DeploymentWith(AnyFront({AnyGeneration(services)})));
  cr_assert(text.has_value());
  const auto read = ParseDeployment(*text, "f");
  cr_assert(read.has_value());
  const FrontConfig& front = read->fronts.at(0);
  cr_expect(front.services.size() == 3);
  cr_expect(front.services.at(2).name.str() == "s-3");
  cr_expect(front.generations.at(0).units.at(ServiceId("s-3")) == 10);
}

Test(Deployment, PrintsAServiceOfTwoGenerationsOnce) {
  Generation second = AnyGeneration({AnyService("a"), AnyService("b")});
  second.number = GenerationNumber(2);
  const auto text = ToConfiguration(
      DeploymentWith(AnyFront({AnyGeneration({AnyService("a")}), second})));
  cr_assert(text.has_value());
  const auto read = ParseDeployment(*text, "f");
  cr_assert(read->fronts.at(0).services.size() == 2);
}

Test(Deployment, RejectsDifferentServicesWithTheSameName) {
  Service other = AnyService("a");
  other.searchers = Searchers(4);
  Generation second = AnyGeneration({other});
  second.number = GenerationNumber(2);
  const std::string error = OnlyError(
      DeploymentWith(AnyFront({AnyGeneration({AnyService("a")}), second})));
  cr_assert(error.find("the service 'a' stands twice") != std::string::npos);
}

// A map keeps only one of two entries with the same name. Without an explicit
// check, the units of the other would silently be missing from the denominator
// of the coverage.
Test(Deployment, RejectsADuplicateServiceInAGeneration) {
  const auto units = AnyGeneration({AnyService("a"), AnyService("a")});
  const std::string error = OnlyError(DeploymentWith(AnyFront({units})));
  cr_assert(error.find("'a' is listed twice") != std::string::npos);
}

Test(Deployment, RejectsADuplicateClassInATenant) {
  const ClassWeight weight{.name = "urgent", .weight = Weight(4)};
  SearchFrontOptions front = AnyFront({AnyGeneration({AnyService("a")})});
  front.tenants = {Tenant{.name = "editors", .classes = {weight, weight}}};
  const std::string error = OnlyError(DeploymentWith(front));
  cr_assert(error.find("'urgent' is listed twice") != std::string::npos);
}

Test(Deployment, RejectsALatencyTargetOverTheMaxDeadline) {
  SearchFrontOptions front = AnyFront({AnyGeneration({AnyService("a")})});
  front.policy = TailPolicy{.latency_target = 3s};
  const std::string error = OnlyError(DeploymentWith(front));
  cr_assert(error.find("3s is over max_deadline, 2s") != std::string::npos);
}

Test(Deployment, ChangingOneValueChangesOneLine) {
  SearchFrontOptions front = AnyFront({AnyGeneration({AnyService("a")})});
  const auto before = PrintedLines(DeploymentWith(front));
  front.extra_attempt_limits.hedge_budget = Fraction(0.06);
  const auto after = PrintedLines(DeploymentWith(front));
  cr_assert(before.size() == after.size());
  size_t changed = 0;
  for (size_t i = 0; i < before.size(); ++i) {
    changed += before[i] == after[i] ? 0 : 1;
  }
  cr_assert(changed == 1);
}

}  // namespace
}  // namespace knapweedroad::operators
