// A deployment, and its configuration as text for the `apply` command.
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

// An availability zone.
struct Zone {
  Name name;
  // The targets of a zone that is out of service get no new requests.
  bool out_of_service = false;
};

struct Deployment {
  Name name;
  OneOrMore<Zone> zones;
  OneOrMore<Front> fronts;
};

// Returns the configuration as JSON, always in the same layout, or all errors
// that the types can't rule out: duplicate names, or a latency target or
// connect cost that exceeds a deadline. The line and column of an error refer
// to the text that would have been printed; a duplicate that the text
// can't show is reported at 1:1.
tl::expected<std::string, std::vector<ConfigError>> ToConfiguration(
    const Deployment& deployment);

// Writes the configuration to standard output, or its errors to standard error.
// Returns the program's exit code: 0, or 1 if the configuration has errors or
// standard output can't be written.
int PrintConfiguration(const Deployment& deployment);

}  // namespace knapweedroad::operators

#endif  // OPERATORS_DEPLOYMENT_H_
