#include "knapweedroad/config/parse_deployment.h"

#include <string>

#include <criterion/criterion.h>

#include "knapweedroad/config/print_deployment.h"

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
      "tenants": [{"name": "editors", "weight": 3, "class_weights": {"urgent": 4}}],
      "services": [
        {"name": "s-1", "searchers": 3, "slots": 2, "connections": 25, "connect_cost": "6ms"}
      ],
      "generations": [{"number": 1, "units": {"s-1": 10}}]
    }
  ]
})";

// `kValid` with one piece replaced by another.
std::string With(std::string_view piece, std::string_view replacement) {
  std::string text(kValid);
  const size_t place = text.find(piece);
  cr_assert(place != std::string::npos);
  return text.replace(place, piece.size(), replacement);
}

// The only fault of the text, printed; empty where there is none.
std::string OnlyError(std::string_view text) {
  const auto parsed = ParseDeployment(text, "f.json");
  if (parsed) {
    return "";
  }
  std::string all;
  for (const ConfigError& error : parsed.error()) {
    all += (all.empty() ? "" : "\n") + error.ToString();
  }
  return all;
}

void ExpectError(const std::string& text, const std::string& expected) {
  const std::string found = OnlyError(text);
  cr_expect(found == expected, "found:\n%s\nexpected:\n%s", found.c_str(),
            expected.c_str());
}

Test(ParseDeployment, ReadsEveryKey) {
  const auto parsed = ParseDeployment(kValid, "f.json");
  cr_assert(parsed.has_value(), "%s", OnlyError(kValid).c_str());
  const FrontConfig& front = parsed->fronts.at(0);
  cr_expect(parsed->zones.at(1).out);
  cr_expect(front.max_deadline == std::chrono::milliseconds(1500));
  cr_expect(front.policy == AnswerPolicy::kTail);
  cr_expect(front.tenants.at(0).class_weights.at("urgent") == 4);
  cr_expect(front.services.at(0).connections == 25);
  cr_expect(front.generations.at(0).units.at(ServiceId("s-1")) == 10);
}

Test(ParseDeployment, ReadsWhatIsPrinted) {
  const auto parsed = ParseDeployment(kValid, "f.json");
  cr_assert(parsed.has_value());
  const auto again = ParseDeployment(PrintDeployment(*parsed), "f.json");
  cr_assert(again.has_value());
  cr_assert(*again == *parsed);
}

Test(ParseDeployment, NamesAnUnknownKeyAndTheNearest) {
  ExpectError(With("\"hedge_budget\"", "\"hedge_buget\""),
              "f.json:15:7: fronts[0].hedge_buget: the key 'hedge_buget' is "
              "not known here; did you mean 'hedge_budget'?");
}

}  // namespace
}  // namespace knapweedroad
