// A whole deployment, and the text that is handed to `apply`.
//
//   int main() {
//     return PrintConfiguration(Deployment{
//         .name = "be-centre",
//         .zones = {Zone{.name = "leuven"}},
//         .fronts = {Front(SearchFrontOptions{...})}});
//   }

#ifndef OPERATORS_DEPLOYMENT_H_
#define OPERATORS_DEPLOYMENT_H_

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/config/config_error.h"
#include "operators/front.h"
#include "operators/name.h"
#include "operators/one_or_more.h"

namespace knapweedroad::operators {

struct Zone {
  Name name;
  bool out_of_service = false;
};

struct Deployment {
  Name name;
  OneOrMore<Zone> zones;
  OneOrMore<Front> fronts;
};

// The configuration as JSON, always in the same layout, or every fault of it
// that the types let through: names that stand twice, a tail target or a
// connect cost over a deadline. Line and column are those of the text that
// would have been printed.
tl::expected<std::string, std::vector<ConfigError>> ToConfiguration(
    const Deployment& deployment);

// Writes the configuration to standard output, or its faults to standard error.
// Returns the exit code of the program: 0, or 1 with faults.
int PrintConfiguration(const Deployment& deployment);

}  // namespace knapweedroad::operators

#endif  // OPERATORS_DEPLOYMENT_H_
