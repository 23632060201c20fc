#include "knapweedroad/host/report_json.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace knapweedroad {
namespace {

using nlohmann::json;

// Reads fields of a report and keeps the first error.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : object(object) {}

  std::string Text(const char* name) {
    const json* value = this->Find(name);
    if (value == nullptr || !value->is_string() ||
        value->get_ref<const std::string&>().empty()) {
      this->Fail(name, "a text that is not empty");
      return {};
    }
    return value->get<std::string>();
  }

  uint64_t Number(const char* name, uint64_t most) {
    const json* value = this->Find(name);
    if (value == nullptr || !value->is_number_unsigned() ||
        value->get<uint64_t>() > most) {
      this->Fail(name, "a whole number from 0 to " + std::to_string(most));
      return 0;
    }
    return value->get<uint64_t>();
  }

  const json* Find(const char* name) const {
    const auto found = this->object.find(name);
    return found == this->object.end() ? nullptr : &*found;
  }

  void Fail(const char* name, const std::string& expected) {
    if (this->error.empty()) {
      this->error = std::string(name) + " must be " + expected;
    }
  }

  const std::string& first_error() const { return this->error; }

 private:
  const json& object;
  std::string error;
};

void ReadHolds(FieldReader& reader, TargetReport& report) {
  const json* holds = reader.Find("holds");
  if (holds == nullptr || !holds->is_array()) {
    reader.Fail("holds", "a list of snapshots such as \"1.5\"");
    return;
  }
  for (const json& each : *holds) {
    const auto snapshot =
        SnapshotId::Parse(each.is_string() ? each.get<std::string>() : "");
    if (!snapshot) {
      reader.Fail("holds", "a list of snapshots such as \"1.5\"");
      return;
    }
    report.snapshots.push_back(*snapshot);
  }
}

}  // namespace

std::optional<TargetState> ReadTargetState(std::string_view word) {
  if (word == "cold") {
    return TargetState::kCold;
  }
  if (word == "ready") {
    return TargetState::kReady;
  }
  if (word == "leaving") {
    return TargetState::kLeaving;
  }
  return std::nullopt;
}

std::optional<Endpoint> ReadEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  Endpoint endpoint{.ip = std::string(text.substr(0, colon))};
  const std::string_view port = text.substr(colon + 1);
  const auto [rest, error] =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (error != std::errc() || rest != port.data() + port.size() ||
      endpoint.port == 0) {
    return std::nullopt;
  }
  return endpoint;
}

tl::expected<TargetReport, std::string> ReadReportJson(std::string_view text) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) {
    return tl::unexpected(std::string("the body must be a JSON object"));
  }
  constexpr uint64_t kMost64 = UINT64_MAX;
  constexpr uint64_t kMost32 = UINT32_MAX;
  FieldReader reader(body);
  TargetReport report;
  report.target = TargetId(reader.Text("target"));
  report.front = FrontId(reader.Text("front"));
  report.service = ServiceId(reader.Text("service"));
  report.zone = ZoneId(reader.Text("zone"));
  report.address = reader.Text("address");
  report.incarnation = reader.Number("incarnation", kMost64);
  report.sequence = reader.Number("sequence", kMost64);
  report.in_flight = static_cast<uint32_t>(reader.Number("in_flight", kMost32));
  report.queued = static_cast<uint32_t>(reader.Number("queued", kMost32));
  const auto state = ReadTargetState(reader.Text("state"));
  if (!state) {
    reader.Fail("state", "cold, ready or leaving");
  }
  report.state = state.value_or(TargetState::kCold);
  if (!ReadEndpoint(report.address)) {
    reader.Fail("address", "IP:PORT");
  }
  ReadHolds(reader, report);
  if (!reader.first_error().empty()) {
    return tl::unexpected(reader.first_error());
  }
  return report;
}

}  // namespace knapweedroad
