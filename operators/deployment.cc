#include "operators/deployment.h"

#include <algorithm>
#include <iostream>
#include <utility>

#include "knapweedroad/config/deployment_config.h"
#include "knapweedroad/config/parse_deployment.h"
#include "knapweedroad/config/print_deployment.h"

namespace knapweedroad::operators {
namespace {

using ConfigErrors = std::vector<ConfigError>;

constexpr const char* kFileName = "(printed)";

// Records a duplicate that the printed text can't show, because a map keeps
// only one of two entries with the same key.
void AddDuplicateError(ConfigErrors& errors,
                       std::string path,
                       const std::string& name) {
  errors.push_back({.file = kFileName,
                    .path = std::move(path),
                    .message = "'" + name + "' is listed twice",
                    .remedy = "keep one of them"});
}

TenantConfig ToConfig(const Tenant& tenant,
                      const std::string& path,
                      ConfigErrors& errors) {
  TenantConfig config{.name = TenantId(tenant.name.str()),
                      .weight = tenant.weight.value()};
  for (const ClassWeight& weight : tenant.classes) {
    const std::string name = weight.name.str();
    if (!config.class_weights.emplace(name, weight.weight.value()).second) {
      AddDuplicateError(
          errors, path + "." + config.name.str() + ".class_weights", name);
    }
  }
  return config;
}

ServiceConfig ToConfig(const Service& service) {
  return {.name = ServiceId(service.name.str()),
          .searchers = service.searchers.value(),
          .slots = service.capacity.slots(),
          .connections = service.capacity.connections(),
          .cold_slots = service.capacity.cold_slots(),
          .connect_cost = service.connect_cost};
}

GenerationConfig ToConfig(const Generation& generation,
                          const std::string& path,
                          ConfigErrors& errors) {
  GenerationConfig config{.number = generation.number.value()};
  for (const ServiceUnits& service_units : generation.units) {
    const ServiceId service(service_units.service.name.str());
    if (!config.units.emplace(service, service_units.units.value()).second) {
      AddDuplicateError(
          errors,
          path + ".generation " + std::to_string(config.number) + ".units",
          service.str());
    }
  }
  return config;
}

void SetPolicy(FrontConfig& config, const TailPolicy& policy) {
  config.policy = AnswerPolicy::kTail;
  config.tail_target = policy.latency_target.value();
  config.minimum_coverage = policy.minimum_coverage.value();
}

void SetPolicy(FrontConfig& config, const CoveragePolicy& policy) {
  config.policy = AnswerPolicy::kCoverage;
  config.minimum_coverage = policy.minimum_coverage.value();
}

// Converts the options that both kinds of front have.
template <typename Options>
FrontConfig ToCommonConfig(const Options& options,
                           const std::string& path,
                           ConfigErrors& errors) {
  FrontConfig config{.name = FrontId(options.name.str())};
  config.default_deadline = options.deadlines.default_deadline();
  config.max_deadline = options.deadlines.max_deadline();
  config.hedge_quantile = options.extra_attempt_limits.hedge_quantile.value();
  config.hedge_budget = options.extra_attempt_limits.hedge_budget.value();
  config.retry_budget = options.extra_attempt_limits.retry_budget.value();
  for (const Tenant& tenant : options.tenants) {
    config.tenants.push_back(ToConfig(tenant, path, errors));
  }
  return config;
}

// Adds a service unless an earlier generation added the same one. Two different
// services with the same name are both added; ParseDeployment() reports them.
void AddService(FrontConfig& front, const Service& service) {
  const ServiceConfig config = ToConfig(service);
  if (std::ranges::find(front.services, config) == front.services.end()) {
    front.services.push_back(config);
  }
}

FrontConfig ToConfig(const SearchFrontOptions& options, ConfigErrors& errors) {
  const std::string path = "front " + options.name.str();
  FrontConfig config = ToCommonConfig(options, path, errors);
  config.kind = FrontKind::kSearch;
  std::visit([&config](const auto& policy) { SetPolicy(config, policy); },
             options.policy);
  for (const Generation& generation : options.generations) {
    config.generations.push_back(ToConfig(generation, path, errors));
    for (const ServiceUnits& service_units : generation.units) {
      AddService(config, service_units.service);
    }
  }
  return config;
}

FrontConfig ToConfig(const RecordsFrontOptions& options, ConfigErrors& errors) {
  FrontConfig config =
      ToCommonConfig(options, "front " + options.name.str(), errors);
  config.kind = FrontKind::kRecords;
  AddService(config, options.service);
  return config;
}

DeploymentConfig ToConfig(const Deployment& deployment, ConfigErrors& errors) {
  DeploymentConfig config{.name = deployment.name.str()};
  for (const Zone& zone : deployment.zones) {
    config.zones.push_back(
        {.name = ZoneId(zone.name.str()), .out = zone.out_of_service});
  }
  for (const Front& front : deployment.fronts) {
    config.fronts.push_back(std::visit(
        [&errors](const auto& options) { return ToConfig(options, errors); },
        front.value()));
  }
  return config;
}

}  // namespace

tl::expected<std::string, std::vector<ConfigError>> ToConfiguration(
    const Deployment& deployment) {
  ConfigErrors errors;
  std::string text = PrintDeployment(ToConfig(deployment, errors));
  const auto read = ParseDeployment(text, kFileName);
  if (!read) {
    errors.insert(errors.end(), read.error().begin(), read.error().end());
  }
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  return text;
}

int PrintConfiguration(const Deployment& deployment) {
  const auto text = ToConfiguration(deployment);
  if (!text) {
    for (const ConfigError& error : text.error()) {
      std::cerr << error.ToString() << "\n";
    }
    return 1;
  }
  std::cout << *text << std::flush;
  return std::cout.good() ? 0 : 1;
}

}  // namespace knapweedroad::operators
