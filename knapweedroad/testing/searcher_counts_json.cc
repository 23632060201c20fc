#include "knapweedroad/testing/searcher_counts_json.h"

#include <array>
#include <optional>

#include <nlohmann/json.hpp>

namespace knapweedroad {
namespace {

using nlohmann::json;

constexpr std::array kAllKinds = {
    ViolationKind::kOverSlots,
    ViolationKind::kOverColdLimit,
    ViolationKind::kOverColdLimitUnknown,
    ViolationKind::kOverConnections,
    ViolationKind::kWorkAfterLeaving,
    ViolationKind::kWorkAfterZoneOut,
    ViolationKind::kKeyRanTwice,
};

std::optional<ViolationKind> KindNamed(const std::string& name) {
  for (const ViolationKind kind : kAllKinds) {
    if (ToString(kind) == name) {
      return kind;
    }
  }
  return std::nullopt;
}

// Calls `visit(name, member)` for each plain number of the counts.
template <typename Counts, typename Visitor>
void VisitNumbers(Counts& counts, Visitor visit) {
  visit("received", counts.received);
  visit("executed", counts.executed);
  visit("answered", counts.answered);
  visit("shed", counts.shed);
  visit("shed_by_fault", counts.shed_by_fault);
  visit("not_held", counts.not_held);
  visit("too_late", counts.too_late);
  visit("cancelled", counts.cancelled);
  visit("expired", counts.expired);
  visit("falls_cold", counts.falls_cold);
  visit("falls_over", counts.falls_over);
  visit("peak_in_flight", counts.peak_in_flight);
  visit("peak_in_flight_cold", counts.peak_in_flight_cold);
  visit("peak_connections", counts.peak_connections);
  visit("connections_opened", counts.connections_opened);
}

json WriteViolations(const SearcherCounts& counts) {
  json list = json::array();
  for (const TargetViolation& violation : counts.first_violations) {
    const auto at =
        std::chrono::duration_cast<std::chrono::milliseconds>(violation.at);
    list.push_back({{"kind", ToString(violation.kind)},
                    {"at_ms", at.count()},
                    {"detail", violation.detail}});
  }
  return list;
}

// Throws json::exception where a field is missing or of another type.
void ReadViolations(const json& object, SearcherCounts& counts) {
  for (const auto& [name, count] : object.at("violations").items()) {
    if (const auto kind = KindNamed(name)) {
      counts.violations[*kind] = count.get<uint64_t>();
    }
  }
  for (const json& entry : object.at("first_violations")) {
    const auto kind = KindNamed(entry.at("kind").get<std::string>());
    if (!kind) {
      continue;
    }
    counts.first_violations.push_back(
        {.kind = *kind,
         .at = std::chrono::milliseconds(entry.at("at_ms").get<int64_t>()),
         .detail = entry.at("detail").get<std::string>()});
  }
}

TargetCounts ReadObject(const json& object) {
  TargetCounts read;
  read.target = TargetId(object.at("target").get<std::string>());
  read.front = FrontId(object.at("front").get<std::string>());
  read.service = ServiceId(object.at("service").get<std::string>());
  read.zone = ZoneId(object.at("zone").get<std::string>());
  read.slots = object.at("slots").get<uint32_t>();
  read.cold_slots = object.at("cold_slots").get<uint32_t>();
  read.connections = object.at("connections").get<uint32_t>();
  for (const json& text : object.at("holds")) {
    if (const auto held = SnapshotId::Parse(text.get<std::string>())) {
      read.holds.push_back(*held);
    }
  }
  VisitNumbers(read.counts, [&object](const char* name, auto& number) {
    object.at(name).get_to(number);
  });
  ReadViolations(object, read.counts);
  return read;
}

}  // namespace

TargetCounts CountsOf(const SearcherCore& core) {
  const SearcherCoreOptions& options = core.options();
  return {.target = options.target,
          .front = options.front,
          .service = options.service,
          .zone = options.zone,
          .slots = options.slots,
          .cold_slots = options.cold_slots,
          .connections = options.connections,
          .holds = core.holds(),
          .counts = core.counts()};
}

std::string WriteCounts(const TargetCounts& from) {
  json holds = json::array();
  for (const SnapshotId& snapshot : from.holds) {
    holds.push_back(snapshot.ToString());
  }
  json violations = json::object();
  for (const auto& [kind, count] : from.counts.violations) {
    violations[std::string(ToString(kind))] = count;
  }
  json object = {{"target", from.target.str()},
                 {"front", from.front.str()},
                 {"service", from.service.str()},
                 {"zone", from.zone.str()},
                 {"slots", from.slots},
                 {"cold_slots", from.cold_slots},
                 {"connections", from.connections},
                 {"holds", std::move(holds)},
                 {"violations", std::move(violations)},
                 {"first_violations", WriteViolations(from.counts)}};
  VisitNumbers(from.counts, [&object](const char* name, const auto& number) {
    object[name] = number;
  });
  return object.dump();
}

tl::expected<TargetCounts, std::string> ReadCounts(std::string_view text) {
  try {
    return ReadObject(json::parse(text));
  } catch (const json::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

}  // namespace knapweedroad
