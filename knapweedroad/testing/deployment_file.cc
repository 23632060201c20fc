#include "knapweedroad/testing/deployment_file.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include "knapweedroad/config/parse_deployment.h"

namespace knapweedroad {

std::optional<DeploymentConfig> ReadDeploymentFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    std::cerr << file << ": can't be read\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  auto deployment = ParseDeployment(text.str(), file);
  if (deployment) {
    return std::move(*deployment);
  }
  for (const ConfigError& error : deployment.error()) {
    std::cerr << error.ToString() << "\n";
  }
  return std::nullopt;
}

}  // namespace knapweedroad
