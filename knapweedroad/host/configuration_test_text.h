// A small deployment for the tests of this folder.

#ifndef KNAPWEEDROAD_HOST_CONFIGURATION_TEST_TEXT_H_
#define KNAPWEEDROAD_HOST_CONFIGURATION_TEST_TEXT_H_

#include <string>
#include <string_view>

namespace knapweedroad {

// A valid text with two zones, "leuven" and "mechelen", whose one front has a
// tenant of that weight.
inline std::string DeploymentText(int weight, std::string_view comment = "") {
  return std::string(comment) + R"({
  "name": "be-centre",
  "zones": [{"name": "leuven"}, {"name": "mechelen"}],
  "fronts": [
    {
      "name": "citaat", "kind": "records",
      "default_deadline": "250ms", "max_deadline": "1.5s",
      "tenants": [{"name": "libraries", "weight": )" +
         std::to_string(weight) + R"(}],
      "services": [
        {"name": "c-1", "searchers": 7, "slots": 6, "connections": 110}
      ]
    }
  ]
})";
}

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_CONFIGURATION_TEST_TEXT_H_
