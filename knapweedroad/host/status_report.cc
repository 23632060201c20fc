#include "knapweedroad/host/status_report.h"

#include <algorithm>
#include <string_view>

#include <nlohmann/json.hpp>

namespace knapweedroad {
namespace {

using nlohmann::ordered_json;

std::string_view StateName(TargetState state) {
  switch (state) {
    case TargetState::kReady:
      return "ready";
    case TargetState::kLeaving:
      return "leaving";
    case TargetState::kCold:
      break;
  }
  return "cold";
}

int64_t Milliseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

uint64_t NewestVersion(const StatusReport& report) {
  return std::max(report.configuration.version,
                  report.configuration.newest_heard);
}

bool HasNewest(const HostStatus& host, const StatusReport& report) {
  return host.alive && host.configuration_version >= NewestVersion(report);
}

ordered_json ConfigurationPart(const StatusReport& report) {
  const ConfigurationAge& age = report.configuration;
  ordered_json missing = ordered_json::array();
  for (const HostStatus& host : report.hosts) {
    if (!HasNewest(host, report)) {
      missing.push_back(host.host.str());
    }
  }
  ordered_json part = {{"newest_version", NewestVersion(report)},
                       {"in_force_on", report.hosts.size() - missing.size()},
                       {"hosts", report.hosts.size()},
                       {"missing", std::move(missing)},
                       {"version_here", age.version},
                       {"source_here", ToString(age.source)},
                       {"in_force_here_for_ms", Milliseconds(age.in_force_for)},
                       {"out_of_touch_for_ms", nullptr}};
  if (age.out_of_touch_for) {
    part["out_of_touch_for_ms"] = Milliseconds(*age.out_of_touch_for);
  }
  return part;
}

ordered_json HostsPart(const StatusReport& report) {
  ordered_json part = ordered_json::array();
  for (const HostStatus& host : report.hosts) {
    ordered_json entry = {{"name", host.host.str()},
                          {"zone", host.zone.str()},
                          {"alive", host.alive},
                          {"leaving", host.leaving},
                          {"version", host.configuration_version},
                          {"silent_for_ms", nullptr}};
    if (host.silent_for != Duration::max()) {
      entry["silent_for_ms"] = Milliseconds(host.silent_for);
    }
    part.push_back(std::move(entry));
  }
  return part;
}

ordered_json TargetsPart(const StatusReport& report) {
  ordered_json part = ordered_json::array();
  for (const TargetStatus& target : report.targets) {
    ordered_json entry = {{"name", target.target.str()},
                          {"front", target.front.str()},
                          {"service", target.service.str()},
                          {"zone", target.zone.str()},
                          {"state", StateName(target.state)},
                          {"holder", nullptr},
                          {"in_flight", target.in_flight},
                          {"limit", target.limit},
                          {"report_age_ms", Milliseconds(target.report_age)}};
    if (!target.holder.empty()) {
      entry["holder"] = target.holder.str();
    }
    part.push_back(std::move(entry));
  }
  return part;
}

}  // namespace

std::string StatusJson(const StatusReport& report) {
  ordered_json zones = ordered_json::array();
  for (const ZoneConfig& zone : report.zones) {
    zones.push_back({{"name", zone.name.str()}, {"out", zone.out}});
  }
  ordered_json replicas = ordered_json::array();
  for (const ReplicaStatus& replica : report.replicas) {
    replicas.push_back(
        {{"host", replica.member.host.str()},
         {"incarnation", std::to_string(replica.member.incarnation)},
         {"reachable", replica.reachable},
         {"joining", replica.joining}});
  }
  const ordered_json body = {{"host", report.host.str()},
                             {"configuration", ConfigurationPart(report)},
                             {"hosts", HostsPart(report)},
                             {"zones", std::move(zones)},
                             {"targets", TargetsPart(report)},
                             {"replicas", std::move(replicas)}};
  return body.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

}  // namespace knapweedroad
