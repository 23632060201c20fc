// Prints the configuration of be-centre, the deployment of Coopérative
// Tussentaal.

#include <chrono>

#include "operators/deployment.h"

namespace knapweedroad::operators {
namespace {

using namespace std::chrono_literals;

constexpr Capacity kSearcher({.slots = Slots(2),
                              .connections = Connections(25)});
constexpr Capacity kRecordSearcher({.slots = Slots(6),
                                    .connections = Connections(110)});

Service SearchService(Name name) {
  return {.name = name,
          .searchers = Searchers(3),
          .capacity = kSearcher,
          .connect_cost = 6ms};
}

Generation FirstGeneration(ServiceCount count, Name name) {
  const auto services = NumberedServices(count, SearchService(name));
  return {.number = GenerationNumber(1),
          .units = EqualUnits(services, Units(10))};
}

Tenant WithUrgentClass(Name name, Weight weight) {
  return {.name = name,
          .weight = weight,
          .classes = {ClassWeight{.name = "urgent", .weight = Weight(4)}}};
}

Front Redactie() {
  return Front(SearchFrontOptions{
      .name = "redactie",
      .deadlines = Deadlines({.default_deadline = 400ms, .max_deadline = 2s}),
      .policy = TailPolicy{.latency_target = 120ms,
                           .minimum_coverage = Fraction(0.8)},
      .tenants = {WithUrgentClass("editors", Weight(3)),
                  WithUrgentClass("radio", Weight(5))},
      .generations = {FirstGeneration(ServiceCount(10), "redactie")}});
}

Front Abonnee() {
  return Front(SearchFrontOptions{
      .name = "abonnee",
      .deadlines = Deadlines({.default_deadline = 600ms, .max_deadline = 2s}),
      .policy = TailPolicy{.latency_target = 200ms,
                           .minimum_coverage = Fraction(0.6)},
      .tenants = {Tenant{.name = "libraries", .weight = Weight(2)},
                  Tenant{.name = "schools", .weight = Weight(2)},
                  Tenant{.name = "subscribers", .weight = Weight(3)}},
      .generations = {FirstGeneration(ServiceCount(15), "abonnee")}});
}

Front Citaat() {
  return Front(RecordsFrontOptions{
      .name = "citaat",
      .deadlines = Deadlines({.default_deadline = 200ms, .max_deadline = 1s}),
      .tenants = {Tenant{.name = "editors", .weight = Weight(3)},
                  Tenant{.name = "subscribers", .weight = Weight(2)}},
      .service = Service{.name = "citaat",
                         .searchers = Searchers(7),
                         .capacity = kRecordSearcher,
                         .connect_cost = 1ms}});
}

Front Ledenhuis() {
  return Front(RecordsFrontOptions{
      .name = "ledenhuis",
      .deadlines = Deadlines({.default_deadline = 200ms, .max_deadline = 1s}),
      .tenants = {Tenant{.name = "libraries", .weight = Weight(2)},
                  Tenant{.name = "schools", .weight = Weight(2)}},
      .service = Service{.name = "ledenhuis",
                         .searchers = Searchers(4),
                         .capacity = kRecordSearcher,
                         .connect_cost = 1ms}});
}

Deployment BeCentre() {
  return {.name = "be-centre",
          .zones = {Zone{.name = "brussel-a"}, Zone{.name = "brussel-b"},
                    Zone{.name = "leuven"}, Zone{.name = "mechelen"}},
          .fronts = {Redactie(), Abonnee(), Citaat(), Ledenhuis()}};
}

}  // namespace
}  // namespace knapweedroad::operators

int main() {
  namespace operators = knapweedroad::operators;
  return operators::PrintConfiguration(operators::BeCentre());
}
