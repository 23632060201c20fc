#include "knapweedroad/config/print_deployment.h"

#include <array>
#include <charconv>
#include <cmath>
#include <functional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "knapweedroad/config/deployment_config.h"
#include "knapweedroad/config/duration_text.h"
#include "knapweedroad/config/front_reader.h"

namespace knapweedroad {
namespace {

constexpr std::string_view kIndentStep = "  ";

std::string Text(const std::string& text) {
  // Replaces what is no UTF-8, so that it doesn't throw.
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

std::string Text(Duration duration) {
  return "\"" + PrintDuration(duration) + "\"";
}

std::string Text(uint32_t number) {
  return std::to_string(number);
}

// The shortest digits that read back to the same value.
std::string Text(double number) {
  if (!std::isfinite(number)) {
    return "null";
  }
  std::array<char, 32> digits{};
  const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), number);
  return {digits.data(), end};
}

// A member of an object, its value printed.
std::string Member(std::string_view key, std::string_view value) {
  return "\"" + std::string(key) + "\": " + std::string(value);
}

std::string OnOneLine(const std::vector<std::string>& members) {
  std::string text = "{";
  for (const std::string& member : members) {
    text += (text.size() == 1 ? "" : ", ") + member;
  }
  return text + "}";
}

// One part a line between the brackets.
std::string OnLines(std::string_view brackets,
                    const std::vector<std::string>& parts,
                    const std::string& indent) {
  if (parts.empty()) {
    return std::string(brackets);
  }
  std::string text(brackets.substr(0, 1));
  for (const std::string& part : parts) {
    text += text.size() == 1 ? "\n" : ",\n";
    text += indent;
    text += kIndentStep;
    text += part;
  }
  return text + "\n" + indent + std::string(brackets.substr(1));
}

template <typename Item>
std::string Array(const std::vector<Item>& items,
                  const std::string& indent,
                  const std::function<std::string(const Item&)>& print) {
  std::vector<std::string> parts;
  parts.reserve(items.size());
  for (const Item& item : items) {
    parts.push_back(print(item));
  }
  return OnLines("[]", parts, indent);
}

std::string Zone(const ZoneConfig& zone) {
  return OnOneLine({Member("name", Text(zone.name.str())),
                    Member("out", zone.out ? "true" : "false")});
}

std::string Tenant(const TenantConfig& tenant) {
  std::vector<std::string> weights;
  for (const auto& [name, weight] : tenant.class_weights) {
    weights.push_back(Text(name) + ": " + Text(weight));
  }
  return OnOneLine({Member("name", Text(tenant.name.str())),
                    Member("weight", Text(tenant.weight)),
                    Member("class_weights", OnOneLine(weights))});
}

std::string Service(const ServiceConfig& service) {
  return OnOneLine({Member("name", Text(service.name.str())),
                    Member("searchers", Text(service.searchers)),
                    Member("slots", Text(service.slots)),
                    Member("connections", Text(service.connections)),
                    Member("cold_slots", Text(service.cold_slots)),
                    Member("connect_cost", Text(service.connect_cost))});
}

std::string Generation(const GenerationConfig& generation,
                       const std::string& indent) {
  const std::string inner = indent + std::string(kIndentStep);
  std::vector<std::string> units;
  for (const auto& [service, count] : generation.units) {
    units.push_back(Text(service.str()) + ": " + Text(count));
  }
  return OnLines("{}",
                 {Member("number", Text(generation.number)),
                  Member("units", OnLines("{}", units, inner))},
                 indent);
}

std::string Word(std::string_view word) {
  return Text(std::string(word));
}

void AddPolicy(const FrontConfig& front, std::vector<std::string>& members) {
  const auto policy = static_cast<size_t>(front.policy);
  members.push_back(Member("policy", Word(kAnswerPolicyWords.at(policy))));
  if (front.policy == AnswerPolicy::kTail) {
    members.push_back(Member("tail_target", Text(front.tail_target)));
  }
  members.push_back(Member("minimum_coverage", Text(front.minimum_coverage)));
}

std::string Front(const FrontConfig& front, const std::string& indent) {
  const std::string inner = indent + std::string(kIndentStep);
  const bool search = front.kind == FrontKind::kSearch;
  const auto kind = static_cast<size_t>(front.kind);
  std::vector<std::string> members = {
      Member("name", Text(front.name.str())),
      Member("kind", Word(kFrontKindWords.at(kind))),
      Member("default_deadline", Text(front.default_deadline)),
      Member("max_deadline", Text(front.max_deadline)),
  };
  if (search) {
    AddPolicy(front, members);
  }
  members.push_back(Member("hedge_quantile", Text(front.hedge_quantile)));
  members.push_back(Member("hedge_budget", Text(front.hedge_budget)));
  members.push_back(Member("retry_budget", Text(front.retry_budget)));
  members.push_back(
      Member("tenants", Array<TenantConfig>(front.tenants, inner, Tenant)));
  members.push_back(
      Member("services", Array<ServiceConfig>(front.services, inner, Service)));
  if (search) {
    const std::string deeper = inner + std::string(kIndentStep);
    members.push_back(Member(
        "generations",
        Array<GenerationConfig>(front.generations, inner,
                                [&deeper](const GenerationConfig& generation) {
                                  return Generation(generation, deeper);
                                })));
  }
  return OnLines("{}", members, indent);
}

}  // namespace

std::string PrintDeployment(const DeploymentConfig& deployment) {
  const std::string inner(kIndentStep);
  const std::string deeper = inner + std::string(kIndentStep);
  const std::string zones = Array<ZoneConfig>(deployment.zones, inner, Zone);
  const std::string fronts = Array<FrontConfig>(
      deployment.fronts, inner,
      [&deeper](const FrontConfig& front) { return Front(front, deeper); });
  return OnLines("{}",
                 {Member("name", Text(deployment.name)), Member("zones", zones),
                  Member("fronts", fronts)},
                 "") +
         "\n";
}

}  // namespace knapweedroad
