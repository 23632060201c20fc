#include "knapweedroad/cli/status_printer.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace knapweedroad {
namespace {

using nlohmann::json;
using Row = std::vector<std::string>;

constexpr size_t kGap = 2;
constexpr int64_t kSecond = 1000;
constexpr int64_t kMinute = 60 * kSecond;
constexpr int64_t kHour = 60 * kMinute;

// Columns as wide as their widest cell, the head on top.
std::string Table(const std::vector<Row>& rows) {
  std::vector<size_t> widths(rows.front().size());
  for (const Row& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Row& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + kGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string TimeText(const json& milliseconds) {
  if (milliseconds.is_null()) {
    return "never";
  }
  const auto time = milliseconds.get<int64_t>();
  // Below two of a unit, the next smaller one tells more.
  if (time >= 2 * kHour) {
    return std::to_string(time / kHour) + " h";
  }
  if (time >= 2 * kMinute) {
    return std::to_string(time / kMinute) + " min";
  }
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f s",
                static_cast<double>(time) / kSecond);
  return text;
}

std::string NumberText(const json& number) {
  return std::to_string(number.get<uint64_t>());
}

std::string NameText(const json& name) {
  return name.is_null() ? "-" : name.get<std::string>();
}

std::string Joined(const json& names) {
  std::string text;
  for (const json& name : names) {
    text += (text.empty() ? "" : ", ") + name.get<std::string>();
  }
  return text;
}

std::string ConfigurationLines(const json& status) {
  const json& part = status.at("configuration");
  std::string text = "version " + NumberText(part.at("newest_version")) +
                     " is in force on " + NumberText(part.at("in_force_on")) +
                     " of " + NumberText(part.at("hosts")) + " hosts";
  if (!part.at("missing").empty()) {
    text += "; missing: " + Joined(part.at("missing"));
  }
  text += "\nhere, on " + NameText(status.at("host")) + ": version " +
          NumberText(part.at("version_here")) + " (" +
          NameText(part.at("source_here")) + ") for " +
          TimeText(part.at("in_force_here_for_ms")) +
          "; control replicas last heard: ";
  const json& out_of_touch = part.at("out_of_touch_for_ms");
  text += TimeText(out_of_touch) + (out_of_touch.is_null() ? "" : " ago");
  return text + "\n";
}

std::string HostTable(const json& status) {
  std::vector<Row> rows;
  for (const json& host : status.at("hosts")) {
    const bool alive = host.at("alive").get<bool>();
    const bool leaving = host.at("leaving").get<bool>();
    const char* live_state = leaving ? "leaving" : "alive";
    rows.push_back({NameText(host.at("name")), NameText(host.at("zone")),
                    alive ? live_state : "silent",
                    NumberText(host.at("version")),
                    TimeText(host.at("silent_for_ms"))});
  }
  std::sort(rows.begin(), rows.end());
  rows.insert(rows.begin(), {"HOST", "ZONE", "STATE", "VERSION", "HEARD"});
  return Table(rows);
}

std::string ReplicaTable(const json& status) {
  std::vector<Row> rows = {{"REPLICA", "INCARNATION", "REACHABLE", "MEMBER"}};
  for (const json& replica : status.at("replicas")) {
    rows.push_back({NameText(replica.at("host")),
                    NameText(replica.at("incarnation")),
                    replica.at("reachable").get<bool>() ? "yes" : "no",
                    replica.at("joining").get<bool>() ? "joining" : "yes"});
  }
  return Table(rows);
}

std::string ZoneTable(const json& status) {
  struct Counts {
    std::map<std::string, uint64_t> by_state;
    uint64_t all = 0;
    uint64_t without_holder = 0;
  };
  std::map<std::string, Counts> zones;
  for (const json& target : status.at("targets")) {
    Counts& counts = zones[NameText(target.at("zone"))];
    ++counts.all;
    ++counts.by_state[NameText(target.at("state"))];
    counts.without_holder += target.at("holder").is_null() ? 1 : 0;
  }
  std::vector<Row> rows = {{"ZONE", "SERVICE", "TARGETS", "READY", "COLD",
                            "LEAVING", "WITHOUT HOLDER"}};
  for (const json& zone : status.at("zones")) {
    Counts& counts = zones[NameText(zone.at("name"))];
    rows.push_back(
        {NameText(zone.at("name")), zone.at("out").get<bool>() ? "out" : "in",
         std::to_string(counts.all), std::to_string(counts.by_state["ready"]),
         std::to_string(counts.by_state["cold"]),
         std::to_string(counts.by_state["leaving"]),
         std::to_string(counts.without_holder)});
  }
  return Table(rows);
}

std::string TargetTable(const json& status) {
  std::vector<Row> rows;
  for (const json& target : status.at("targets")) {
    rows.push_back({NameText(target.at("zone")), NameText(target.at("name")),
                    NameText(target.at("front")), NameText(target.at("state")),
                    NameText(target.at("holder")),
                    NumberText(target.at("in_flight")) + "/" +
                        NumberText(target.at("limit")),
                    TimeText(target.at("report_age_ms"))});
  }
  std::sort(rows.begin(), rows.end());
  rows.insert(rows.begin(), {"ZONE", "TARGET", "FRONT", "STATE", "HOLDER",
                             "IN FLIGHT", "REPORT"});
  return Table(rows);
}

}  // namespace

std::optional<std::string> StatusText(std::string_view text) {
  const json status = json::parse(text, nullptr, /*allow_exceptions=*/false);
  try {
    return ConfigurationLines(status) + "\n" + HostTable(status) + "\n" +
           ReplicaTable(status) + "\n" + ZoneTable(status) + "\n" +
           TargetTable(status);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace knapweedroad
