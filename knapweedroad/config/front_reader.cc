#include "knapweedroad/config/front_reader.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "knapweedroad/config/duration_text.h"
#include "knapweedroad/config/object_reader.h"
#include "knapweedroad/config/service_reader.h"
#include "knapweedroad/config/unique_names.h"

namespace knapweedroad {
namespace {

constexpr std::string_view kSearchOnly = "only a search front has this key";
constexpr std::string_view kTailOnly = "only the policy \"tail\" has this key";
constexpr std::string_view kTakeOut = "take it out";
constexpr std::array<std::string_view, 4> kSearchKeys = {
    "policy", "tail_target", "minimum_coverage", "generations"};

template <typename Value>
void Set(Value& field, std::optional<Value> value) {
  if (value) {
    field = *std::move(value);
  }
}

void CheckNotOver(ObjectReader& reader,
                  std::string_view key,
                  const std::optional<Duration>& value,
                  const std::optional<Duration>& limit) {
  if (value && limit && *value > *limit) {
    reader.Fail(key,
                PrintDuration(*value) + " is over max_deadline, " +
                    PrintDuration(*limit),
                "lower it, or raise max_deadline");
  }
}

void ReadDeadlines(ObjectReader& reader, FrontConfig& front) {
  const auto max = reader.Required("max_deadline", ReadPositiveDuration);
  const auto fallback =
      reader.Required("default_deadline", ReadPositiveDuration);
  CheckNotOver(reader, "default_deadline", fallback, max);
  Set(front.max_deadline, max);
  Set(front.default_deadline, fallback);
}

void ReadTailTarget(ObjectReader& reader,
                    std::optional<AnswerPolicy> policy,
                    FrontConfig& front) {
  if (policy == AnswerPolicy::kCoverage) {
    reader.Forbid("tail_target", kTailOnly, kTakeOut);
    return;
  }
  if (policy != AnswerPolicy::kTail) {
    // The policy is at fault itself: whether the key belongs here isn't known.
    reader.Find("tail_target");
    return;
  }
  const auto target = reader.Required("tail_target", ReadPositiveDuration);
  if (front.max_deadline != Duration::zero()) {
    CheckNotOver(reader, "tail_target", target, front.max_deadline);
  }
  Set(front.tail_target, target);
}

void ReadPolicy(ObjectReader& reader, FrontConfig& front) {
  const auto word = reader.Required("policy", [](const JsonNode& node) {
    return ReadWord(node, kAnswerPolicyWords);
  });
  std::optional<AnswerPolicy> policy;
  if (word) {
    policy = static_cast<AnswerPolicy>(*word);
    front.policy = *policy;
  }
  ReadTailTarget(reader, policy, front);
  Set(front.minimum_coverage,
      reader.Optional("minimum_coverage", front.minimum_coverage, ReadShare));
}

void ReadBudgets(ObjectReader& reader, FrontConfig& front) {
  Set(front.hedge_quantile,
      reader.Optional("hedge_quantile", front.hedge_quantile, ReadQuantile));
  Set(front.hedge_budget,
      reader.Optional("hedge_budget", front.hedge_budget, ReadShare));
  Set(front.retry_budget,
      reader.Optional("retry_budget", front.retry_budget, ReadShare));
}

void ReadClassWeights(ObjectReader& reader, TenantConfig& tenant) {
  const auto weights = reader.OptionalCounts("class_weights");
  if (!weights) {
    return;
  }
  for (const auto& [name, weight] : *weights) {
    tenant.class_weights.emplace(name, weight.value.value_or(0));
  }
}

void ReadTenants(ObjectReader& reader, FrontConfig& front) {
  UniqueNames names;
  reader.Each("tenants", [&](const JsonNode& element, std::string path) {
    ObjectReader tenant(reader.document, element, std::move(path),
                        reader.errors);
    TenantConfig& config = front.tenants.emplace_back();
    if (const auto name = tenant.Required("name", ReadName)) {
      names.Check(tenant, "name", *name, "tenant");
      config.name = TenantId(*name);
    }
    Set(config.weight, tenant.Optional("weight", config.weight, ReadCount));
    ReadClassWeights(tenant, config);
    tenant.Finish();
  });
}

void ReadKeysOfKind(ObjectReader& reader,
                    const ServiceList& services,
                    FrontConfig& front) {
  if (front.kind == FrontKind::kSearch) {
    ReadPolicy(reader, front);
    ReadGenerations(reader, services, front);
    return;
  }
  CheckOneService(reader, front);
  for (const std::string_view key : kSearchKeys) {
    reader.Forbid(key, kSearchOnly, kTakeOut);
  }
}

}  // namespace

FrontConfig ReadFront(ObjectReader& reader) {
  FrontConfig front;
  if (const auto name = reader.Required("name", ReadName)) {
    front.name = FrontId(*name);
  }
  const auto kind = reader.Required("kind", [](const JsonNode& node) {
    return ReadWord(node, kFrontKindWords);
  });
  ReadDeadlines(reader, front);
  ReadBudgets(reader, front);
  ReadTenants(reader, front);
  const ServiceList services = ReadServices(reader, front);
  if (kind) {
    front.kind = static_cast<FrontKind>(*kind);
    ReadKeysOfKind(reader, services, front);
  } else {
    // Which of them belong here isn't known.
    std::for_each(kSearchKeys.begin(), kSearchKeys.end(),
                  [&reader](std::string_view key) { reader.Find(key); });
  }
  reader.Finish();
  return front;
}

}  // namespace knapweedroad
