#include <filesystem>
#include <fstream>
#include <sstream>

#include <criterion/criterion.h>

#include "knapweedroad/load/load_plan.h"

namespace knapweedroad {
namespace {

Test(Scenarios, EveryBenchScenarioIsValid) {
  size_t read = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(KWR_SCENARIO_FOLDER)) {
    std::ifstream in(entry.path());
    std::ostringstream text;
    text << in.rdbuf();
    const auto plan = ReadLoadPlan(text.str());
    const std::string error = plan ? "" : plan.error().front();
    cr_expect(plan.has_value(), "%s: %s", entry.path().c_str(), error.c_str());
    ++read;
  }
  cr_assert_gt(read, 0);
}

}  // namespace
}  // namespace knapweedroad
