// Prints the configuration of se-vast, the deployment of Vänersborg Kommunala
// Statistikverk.

#include <chrono>

#include "operators/deployment.h"

namespace knapweedroad::operators {
namespace {

using namespace std::chrono_literals;

constexpr Capacity kSearcher({.slots = Slots(2),
                              .connections = Connections(25)});
constexpr Capacity kRecordSearcher({.slots = Slots(4),
                                    .connections = Connections(45)});

Generation FirstGeneration(ServiceCount count, Name name) {
  const auto services =
      NumberedServices(count, Service{.name = name,
                                      .searchers = Searchers(3),
                                      .capacity = kSearcher,
                                      .connect_cost = 6ms});
  return {.number = GenerationNumber(1),
          .units = EqualUnits(services, Units(10))};
}

Front Dagslage() {
  return Front(SearchFrontOptions{
      .name = "dagslage",
      .deadlines = Deadlines({.default_deadline = 1s, .max_deadline = 3s}),
      .policy = CoveragePolicy{.minimum_coverage = Fraction(0.9)},
      .tenants = {Tenant{.name = "dashboards",
                         .weight = Weight(3),
                         .classes = {ClassWeight{.name = "storm",
                                                 .weight = Weight(4)}}},
                  Tenant{.name = "press"}},
      .generations = {FirstGeneration(ServiceCount(10), "dagslage")}});
}

Front Rapportin() {
  return Front(SearchFrontOptions{
      .name = "rapportin",
      .deadlines = Deadlines({.default_deadline = 2s, .max_deadline = 5s}),
      .policy = CoveragePolicy{.minimum_coverage = Fraction(0.9)},
      .tenants = {Tenant{.name = "analysts", .weight = Weight(2)},
                  Tenant{.name = "municipalities", .weight = Weight(3)}},
      .generations = {FirstGeneration(ServiceCount(15), "rapportin")}});
}

Front Gastreg() {
  return Front(RecordsFrontOptions{
      .name = "gastreg",
      .deadlines = Deadlines({.default_deadline = 200ms, .max_deadline = 1s}),
      .tenants = {Tenant{.name = "inspectors", .weight = Weight(3)},
                  Tenant{.name = "letters"}},
      .service = Service{.name = "gastreg",
                         .searchers = Searchers(7),
                         .capacity = kRecordSearcher,
                         .connect_cost = 1ms}});
}

Front Publicera() {
  return Front(RecordsFrontOptions{
      .name = "publicera",
      .deadlines = Deadlines({.default_deadline = 200ms, .max_deadline = 1s}),
      .tenants = {Tenant{.name = "press"},
                  Tenant{.name = "public", .weight = Weight(2)}},
      .service = Service{.name = "publicera",
                         .searchers = Searchers(3),
                         .capacity = kRecordSearcher,
                         .connect_cost = 1ms}});
}

Deployment SeVast() {
  return {.name = "se-vast",
          .zones = {Zone{.name = "vast-a"}, Zone{.name = "vast-b"},
                    Zone{.name = "vast-c"}},
          .fronts = {Dagslage(), Rapportin(), Gastreg(), Publicera()}};
}

}  // namespace
}  // namespace knapweedroad::operators

int main() {
  namespace operators = knapweedroad::operators;
  return operators::PrintConfiguration(operators::SeVast());
}
