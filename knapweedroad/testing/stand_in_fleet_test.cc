#include "knapweedroad/testing/stand_in_fleet.h"

#include <criterion/criterion.h>

#include "knapweedroad/config/deployment_config.h"

namespace knapweedroad {
namespace {

DeploymentConfig Deployment() {
  const ServiceConfig service{.name = ServiceId("s-1"),
                              .searchers = 3,
                              .slots = 2,
                              .connections = 25,
                              .cold_slots = 1};
  FrontConfig front{.name = FrontId("redactie"), .services = {service}};
  front.generations.push_back({.number = 4, .units = {{ServiceId("s-1"), 7}}});
  return {.zones = {{.name = ZoneId("a")}, {.name = ZoneId("b")}},
          .fronts = {front}};
}

Test(StandInFleet, HasEverySearcherOfTheDeployment) {
  const auto fleet = PlanFleet(Deployment(), {.first_port = 9000});
  cr_assert_eq(fleet.size(), 3);
  cr_assert_eq(fleet[2].core.target.str(), "s-1-3");
  cr_assert_eq(fleet[2].endpoint.port, 9002);
  cr_assert_eq(fleet[0].core.units, 7);
  cr_assert_eq(fleet[0].core.snapshot.generation, 4);
}

Test(StandInFleet, PicksByAnyOfSeveralPatterns) {
  const auto fleet = PlanFleet(Deployment(), {.targets = "x-*,s-*-2"});
  cr_assert_eq(fleet.size(), 1);
  cr_assert_eq(fleet[0].core.target.str(), "s-1-2");
}

Test(StandInFleet, APartKeepsItsPorts) {
  const auto fleet =
      PlanFleet(Deployment(), {.zones = {ZoneId("b")}, .first_port = 9000});
  cr_assert_eq(fleet.size(), 1);
  cr_assert_eq(fleet[0].endpoint.port, 9001);
}

}  // namespace
}  // namespace knapweedroad
