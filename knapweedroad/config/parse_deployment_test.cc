#include "knapweedroad/config/parse_deployment.h"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

#include "knapweedroad/config/error_list.h"
#include "knapweedroad/config/print_deployment.h"
#include "knapweedroad/config/test_text.h"

namespace knapweedroad {
namespace {

// A small deployment with every key.
constexpr std::string_view kValid = R"({
  // Comments are allowed.
  "name": "be-centre",
  "zones": [{"name": "leuven"}, {"name": "mechelen", "out": true}],
  "fronts": [
    {
      "name": "redactie",
      "kind": "search",
      "default_deadline": "250ms",
      "max_deadline": "1.5s",
      "policy": "tail",
      "tail_target": "80ms",
      "minimum_coverage": 0.5,
      "hedge_quantile": 0.9,
      "hedge_budget": 0.05,
      "retry_budget": 0.1,
      "tenants": [{"name": "editors", "class_weights": {"urgent": 4}}],
      "services": [
        {"name": "s-1", "searchers": 3, "slots": 2, "connections": 25}
      ],
      "generations": [{"number": 1, "units": {"s-1": 10}}]
    }
  ]
})";

constexpr std::string_view kTenants =
    R"([{"name": "editors", "class_weights": {"urgent": 4}}])";
constexpr std::string_view kService =
    R"({"name": "s-1", "searchers": 3, "slots": 2, "connections": 25})";
constexpr std::string_view kGenerations =
    R"([{"number": 1, "units": {"s-1": 10}}])";

std::vector<ConfigError> Errors(std::string_view text) {
  const auto parsed = ParseDeployment(text, "f.json");
  return parsed ? std::vector<ConfigError>() : parsed.error();
}

// `kValid` with one piece replaced has just this fault.
void Expect(std::string_view piece,
            std::string_view replacement,
            std::string_view expected) {
  ExpectOneError(Errors(Replaced(kValid, piece, replacement)), expected);
}

// As `Expect`, for the service's line with one piece replaced.
void ExpectOfService(std::string_view piece,
                     std::string_view replacement,
                     std::string_view expected) {
  Expect(kService, Replaced(kService, piece, replacement), expected);
}

Test(ParseDeployment, ReadsEveryKey) {
  const auto parsed = ParseDeployment(kValid, "f.json");
  cr_assert(parsed.has_value());
  const FrontConfig& front = parsed->fronts.at(0);
  cr_expect(parsed->zones.at(1).out);
  cr_expect(front.max_deadline == std::chrono::milliseconds(1500));
  cr_expect(front.policy == AnswerPolicy::kTail);
  cr_expect(front.tenants.at(0).class_weights.at("urgent") == 4);
  cr_expect(front.services.at(0).connections == 25);
  cr_expect(front.generations.at(0).units.at(ServiceId("s-1")) == 10);
}

Test(ParseDeployment, FillsInDefaults) {
  const auto parsed = ParseDeployment(kValid, "f.json");
  cr_assert(parsed.has_value());
  const FrontConfig& front = parsed->fronts.at(0);
  cr_expect(!parsed->zones.at(0).out);
  cr_expect(front.tenants.at(0).weight == 1);
  cr_expect(front.services.at(0).cold_slots == 1);
  cr_expect(front.services.at(0).connect_cost == Duration::zero());
}

Test(ParseDeployment, SaysWhereTheJsonBreaksOff) {
  ExpectOneError(Errors("{\n  \"name\": }"), "2:11: (root): syntax error");
  ExpectOneError(Errors(""), "1:1: (root): syntax error");
  ExpectOneError(Errors("{} {}"), "1:4: (root): syntax error");
}

Test(ParseDeployment, WritesAnErrorWithFilePlacePathAndRemedy) {
  const auto errors =
      Errors(Replaced(kValid, "\"hedge_budget\"", "\"hedge_buget\""));
  cr_assert(errors.size() == 1);
  const std::string expected =
      "f.json:15:7: fronts[0].hedge_buget: the key 'hedge_buget' is not known "
      "here; did you mean 'hedge_budget'?";
  cr_assert(errors[0].ToString() == expected);
}

Test(ParseDeployment, ReportsAllFaultsInTheirOrder) {
  std::string text = Replaced(kValid, "\"80ms\"", "\"80\"");
  text = Replaced(text, "\"slots\": 2", "\"slots\": 26");
  text = Replaced(text, "\"leuven\"", "\"Leuven\"");
  const auto errors = Errors(text);
  cr_assert(errors.size() == 3);
  cr_expect(errors[0].path == "zones[0].name");
  cr_expect(errors[1].path == "fronts[0].tail_target");
  cr_expect(errors[2].path == "fronts[0].services[0].slots");
}

Test(ParseDeployment, RefusesUnknownKeysAtEveryLevel) {
  Expect("\"name\": \"be", "\"nane\": 1, \"name\": \"be", "3:3: nane: the key");
  Expect("\"out\"", "\"outt\"", "4:54: zones[1].outt: the key");
  Expect("{\"name\": \"editors\",", "{\"name\": \"editors\", \"wait\": 2,",
         "17:39: fronts[0].tenants[0].wait: the key");
  ExpectOfService("}", ", \"zone\": 1}",
                  "19:72: fronts[0].services[0].zone: the key");
  Expect("{\"number\"", "{\"note\": 1, \"number\"",
         "21:24: fronts[0].generations[0].note: the key");
}

// A key with a line break in it would make two lines of one error, and one of
// 100 KB would bury the others.
Test(ParseDeployment, KeepsAnErrorOnOneShortLine) {
  Expect("\"kind\"", "\"a\\nb\": 1, \"kind\"", "8:7: fronts[0].a?b: the key");
  const auto errors = Errors("{\"" + std::string(100'000, 'x') + "\": 1}");
  cr_assert(!errors.empty());
  for (const ConfigError& error : errors) {
    cr_expect(error.ToString().size() < 300);
  }
}

Test(ParseDeployment, RefusesAKeyThatStandsTwice) {
  Expect("\"kind\": \"search\",",
         "\"kind\": \"search\", \"kind\": \"records\",",
         "8:25: fronts[0].kind: the key stands twice; keep this one or the one "
         "in line 8");
  Expect("\"s-1\": 10", "\"s-1\": 10, \"s-1\": 5",
         "21:58: fronts[0].generations[0].units.s-1: the key stands twice");
}

Test(ParseDeployment, RefusesMissingKeys) {
  Expect("\"name\": \"be-centre\",", "", "1:1: name: the key is missing");
  Expect("\"max_deadline\": \"1.5s\",", "",
         "6:5: fronts[0].max_deadline: the key is missing");
  Expect("\"tail_target\": \"80ms\",", "",
         "6:5: fronts[0].tail_target: the key is missing");
  ExpectOfService(", \"slots\": 2", "",
                  "19:9: fronts[0].services[0].slots: the key is missing");
}

Test(ParseDeployment, RefusesWrongTypes) {
  Expect("\"be-centre\"", "7", "3:11: name: expected a name, found a number");
  Expect("true", "1",
         "4:61: zones[1].out: expected true or false, found a number");
  Expect("0.5", "\"half\"",
         "13:27: fronts[0].minimum_coverage: expected a share");
  Expect("{\"name\": \"leuven\"}", "\"leuven\"",
         "4:13: zones[0]: expected an object, found a string");
  Expect("{\"urgent\": 4}", "[4]",
         "17:56: fronts[0].tenants[0].class_weights: expected an object, found "
         "an array");
  Expect(kGenerations, "{}",
         "21:22: fronts[0].generations: expected an array, found an object");
  ExpectOneError(Errors("[]"),
                 "1:1: (root): expected an object, found an array");
}

Test(ParseDeployment, RefusesWordsThatAreNotKnown) {
  Expect("\"search\"", "\"serch\"",
         "8:15: fronts[0].kind: 'serch' is not known here; write \"search\"");
  Expect("\"tail\"", "\"both\"",
         "11:17: fronts[0].policy: 'both' is not known here; write \"tail\" or "
         "\"coverage\"");
}

Test(ParseDeployment, RefusesWhatIsNoName) {
  Expect("\"leuven\"", "\"\"", "4:22: zones[0].name: '' is no name");
  Expect("\"leuven\"", "\"leu ven\"", "4:22: zones[0].name: 'leu ven' is no");
  Expect("\"leuven\"", "\"" + std::string(65, 'a') + "\"",
         "4:22: zones[0].name: 'aaa");
  Expect("\"urgent\"", "\"URGENT\"",
         "17:57: fronts[0].tenants[0].class_weights.URGENT: 'URGENT' is no");
}

Test(ParseDeployment, RefusesDurationsWithoutAProperUnit) {
  Expect(
      "\"250ms\"", "250",
      "9:27: fronts[0].default_deadline: expected a duration, found a number; "
      "write a string with the unit (ns, us, ms or s), such as \"250ms\"");
  Expect("\"250ms\"", "\"250\"",
         "9:27: fronts[0].default_deadline: '250' is no duration");
  Expect("\"250ms\"", "\"250 min\"",
         "9:27: fronts[0].default_deadline: '250 min' is no duration");
}

Test(ParseDeployment, RefusesDeadlinesThatCannotHold) {
  Expect("\"1.5s\"", "\"0s\"", "10:23: fronts[0].max_deadline: the duration");
  Expect("\"250ms\"", "\"0ms\"",
         "9:27: fronts[0].default_deadline: the duration is 0");
  Expect("\"250ms\"", "\"2s\"",
         "9:27: fronts[0].default_deadline: 2s is over max_deadline, 1500ms");
  Expect("\"80ms\"", "\"2s\"",
         "12:22: fronts[0].tail_target: 2s is over max_deadline, 1500ms");
  Expect("\"80ms\"", "\"0ms\"", "12:22: fronts[0].tail_target: the duration");
  ExpectOfService("}", ", \"connect_cost\": \"1.5s\"}",
                  "19:88: fronts[0].services[0].connect_cost: 1500ms is not "
                  "under the front's max_deadline, 1500ms");
}

Test(ParseDeployment, RefusesSharesOutOfRange) {
  Expect("0.5", "1.01", "13:27: fronts[0].minimum_coverage: the share is not");
  Expect("0.05", "-0.1", "15:23: fronts[0].hedge_budget: the share is not");
  Expect("0.1", "1.1", "16:23: fronts[0].retry_budget: the share is not");
  Expect("0.9", "1", "14:25: fronts[0].hedge_quantile: the quantile is not");
  Expect("0.9", "0", "14:25: fronts[0].hedge_quantile: the quantile is not");
}

Test(ParseDeployment, RefusesCountsThatAreNotWholeAndAboveZero) {
  for (const char* count : {"0", "-1", "2.0", "4294967296", "1e3"}) {
    ExpectOfService("\"searchers\": 3", std::string("\"searchers\": ") + count,
                    "19:38: fronts[0].services[0].searchers: the number is");
  }
  Expect("\"urgent\": 4", "\"urgent\": 0",
         "17:67: fronts[0].tenants[0].class_weights.urgent: the number is not");
  Expect("{\"name\": \"editors\",", "{\"name\": \"editors\", \"weight\": 0,",
         "17:49: fronts[0].tenants[0].weight: the number is not");
  Expect("\"number\": 1", "\"number\": 0",
         "21:34: fronts[0].generations[0].number: the number is not");
  Expect("\"s-1\": 10", "\"s-1\": 0",
         "21:54: fronts[0].generations[0].units.s-1: the number is not");
}

Test(ParseDeployment, RefusesMoreSlotsThanConnections) {
  ExpectOfService("\"slots\": 2", "\"slots\": 26",
                  "19:50: fronts[0].services[0].slots: 26 is over connections, "
                  "25; lower it, or raise connections");
}

Test(ParseDeployment, RefusesMoreColdSlotsThanSlots) {
  ExpectOfService("}", ", \"cold_slots\": 3}",
                  "19:86: fronts[0].services[0].cold_slots: 3 is over slots");
}

Test(ParseDeployment, ComparesNothingWithAValueThatIsWrongItself) {
  ExpectOfService(
      "\"connections\": 25", "\"connections\": \"25\"",
      "19:68: fronts[0].services[0].connections: expected a whole number");
  Expect("\"1.5s\"", "\"1.5\"", "10:23: fronts[0].max_deadline: '1.5' is no");
  Expect("\"s-1\", ", "\"S-1\", ", "19:18: fronts[0].services[0].name: 'S-1'");
  Expect("\"s-1\": 10", "\"s-1\": \"10\"",
         "21:54: fronts[0].generations[0].units.s-1: expected a whole number");
  Expect("\"search\"", "3",
         "8:15: fronts[0].kind: expected \"search\" or \"records\"");
  Expect("{\"s-1\": 10}", "3",
         "21:46: fronts[0].generations[0].units: expected");
}

Test(ParseDeployment, RefusesEmptyLists) {
  Expect(R"([{"name": "leuven"}, {"name": "mechelen", "out": true}])", "[]",
         "4:12: zones: the array is empty");
  Expect(kTenants, "[]", "17:18: fronts[0].tenants: the array is empty");
  Expect(kGenerations, "[]", "21:22: fronts[0].generations: the array is");
  ExpectOneError(
      Errors(R"({"name": "x", "zones": [{"name": "a"}], "fronts": []})"),
      "1:51: fronts: the array is empty");
}

Test(ParseDeployment, RefusesNamesThatStandTwice) {
  Expect("\"mechelen\"", "\"leuven\"",
         "4:42: zones[1].name: the zone 'leuven' stands twice; change this one "
         "or the one at zones[0].name");
  Expect(kTenants, R"([{"name": "a"}, {"name": "a"}])",
         "17:43: fronts[0].tenants[1].name: the tenant 'a' stands twice");
  Expect(kService, std::string(kService) + ", " + std::string(kService),
         "19:82: fronts[0].services[1].name: the service 's-1' stands twice");
  Expect(kGenerations,
         R"([{"number": 1, "units": {"s-1": 1}},
             {"number": 1, "units": {"s-1": 2}}])",
         "22:25: fronts[0].generations[1].number: the generation '1' stands");
}

Test(ParseDeployment, RefusesTwoFrontsOfOneName) {
  const auto parsed = ParseDeployment(kValid, "f.json");
  cr_assert(parsed.has_value());
  DeploymentConfig doubled = *parsed;
  doubled.fronts.push_back(doubled.fronts[0]);
  const auto errors = Errors(PrintDeployment(doubled));
  cr_assert(errors.size() == 1);
  cr_assert(errors[0].path == "fronts[1].name");
}

Test(ParseDeployment, RefusesUnitsOfAServiceThatIsNotThere) {
  Expect("\"s-1\": 10", "\"s-1\": 10, \"s-2\": 10",
         "21:58: fronts[0].generations[0].units.s-2: the front has no service "
         "'s-2'; did you mean 's-1'?");
}

// An operator sends 1 MB of misspelt services. Each was compared with every
// service there is, and the host's thread did nothing else for 24 s: callers'
// queries ran past their deadlines.
Test(ParseDeployment, LooksUpABoundedNumberOfNames) {
  std::string units = "\"s-1\": 10";
  for (size_t i = 0; i < 2 * ErrorList::kMaxSuggestions; ++i) {
    units += ", \"s-x" + std::to_string(i) + "\": 10";
  }
  const auto errors = Errors(Replaced(kValid, "\"s-1\": 10", units));
  cr_assert(errors.size() == 2 * ErrorList::kMaxSuggestions);
  const auto suggests = [](const ConfigError& error) {
    return error.remedy.starts_with("did you mean");
  };
  const auto count = std::count_if(errors.begin(), errors.end(), suggests);
  cr_assert(count == static_cast<ptrdiff_t>(ErrorList::kMaxSuggestions));
}

Test(ParseDeployment, RefusesAServiceInNoGeneration) {
  const std::string more =
      std::string(kService) + ", " + Replaced(kService, "s-1", "s-2");
  Expect(kService, more,
         "19:82: fronts[0].services[1].name: no generation gives 's-2' units");
}

Test(ParseDeployment, RefusesAGenerationWithoutUnits) {
  Expect(kGenerations,
         R"([{"number": 1, "units": {"s-1": 1}}, {"number": 2, "units": {}}])",
         "21:82: fronts[0].generations[1].units: no service has units");
}

Test(ParseDeployment, RefusesATailTargetUnderAnotherPolicy) {
  Expect("\"tail\"", "\"coverage\"",
         "12:7: fronts[0].tail_target: only the policy \"tail\" has this key");
}

Test(ParseDeployment, RefusesKeysOfASearchFrontInARecordsFront) {
  const auto errors = Errors(Replaced(kValid, "\"search\"", "\"records\""));
  cr_assert(errors.size() == 4);
  cr_expect(errors[0].path == "fronts[0].policy");
  cr_expect(errors[1].path == "fronts[0].tail_target");
  cr_expect(errors[2].path == "fronts[0].minimum_coverage");
  cr_expect(errors[3].path == "fronts[0].generations");
}

Test(ParseDeployment, RefusesARecordsFrontWithTwoServices) {
  const auto parsed = ParseDeployment(kValid, "f.json");
  cr_assert(parsed.has_value());
  DeploymentConfig records = *parsed;
  FrontConfig& front = records.fronts[0];
  front.kind = FrontKind::kRecords;
  cr_assert(Errors(PrintDeployment(records)).empty());
  front.services.push_back(front.services[0]);
  front.services[1].name = ServiceId("s-2");
  const auto errors = Errors(PrintDeployment(records));
  cr_assert(errors.size() == 1);
  cr_assert(errors[0].path == "fronts[0].services");
}

}  // namespace
}  // namespace knapweedroad
