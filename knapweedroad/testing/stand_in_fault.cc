#include "knapweedroad/testing/stand_in_fault.h"

#include <map>
#include <optional>

#include <nlohmann/json.hpp>

namespace knapweedroad {
namespace {

using nlohmann::json;

const std::map<std::string, StandInFaultKind>& Kinds() {
  static const auto* const kinds = new std::map<std::string, StandInFaultKind>{
      {"misbehave", StandInFaultKind::kMisbehave},
      {"fall_cold", StandInFaultKind::kFallCold},
      {"warm_up", StandInFaultKind::kWarmUp},
      {"go_silent", StandInFaultKind::kGoSilent},
      {"restart", StandInFaultKind::kRestart},
      {"leave", StandInFaultKind::kLeave},
      {"change_version", StandInFaultKind::kChangeVersion},
      {"repartition", StandInFaultKind::kRepartition},
      {"mark_zone_out", StandInFaultKind::kMarkZoneOut},
      {"mark_zone_in", StandInFaultKind::kMarkZoneIn},
      {"reset_counts", StandInFaultKind::kResetCounts}};
  return *kinds;
}

// Takes the fields out of an object one by one and keeps the first error.
class FieldReader {
 public:
  explicit FieldReader(json object) : rest(std::move(object)) {}

  void Probability(const char* name, double& value) {
    this->Number(name, value);
    if (value < 0.0 || value > 1.0) {
      this->Fail(std::string(name) + ": expected a share from 0 to 1");
    }
  }

  template <typename Value>
  void Number(const char* name, Value& value) {
    const std::optional<json> field = this->Take(name);
    if (!field) {
      return;
    }
    if (!field->is_number() || *field < 0) {
      this->Fail(std::string(name) + ": expected a number of zero or more");
      return;
    }
    value = field->get<Value>();
  }

  void Flag(const char* name, bool& value) {
    const std::optional<json> field = this->Take(name);
    if (!field) {
      return;
    }
    if (!field->is_boolean()) {
      this->Fail(std::string(name) + ": expected true or false");
      return;
    }
    value = field->get<bool>();
  }

  std::optional<json> Take(const char* name) {
    const auto found = this->rest.find(name);
    if (found == this->rest.end()) {
      return std::nullopt;
    }
    json value = *found;
    this->rest.erase(found);
    return value;
  }

  void Fail(std::string text) {
    if (this->error.empty()) {
      this->error = std::move(text);
    }
  }

  // The first error, or that a field is left which no fault has.
  std::string Finish() {
    if (this->error.empty() && !this->rest.empty()) {
      return "unknown field " + this->rest.begin().key();
    }
    return this->error;
  }

 private:
  json rest;
  std::string error;
};

void ReadMisbehaviour(FieldReader& reader, SearcherFaults& faults) {
  reader.Probability("straggle_probability", faults.straggle_probability);
  reader.Number("straggle_factor", faults.straggle_factor);
  reader.Probability("shed_probability", faults.shed_probability);
  reader.Probability("error_probability", faults.error_probability);
  reader.Probability("crossed_probability", faults.crossed_probability);
  reader.Probability("truncated_probability", faults.truncated_probability);
  reader.Flag("reports_ready", faults.reports_ready);
  reader.Flag("reports_idle", faults.reports_idle);
  reader.Flag("answers_hide_state", faults.answers_hide_state);
}

void ReadFields(FieldReader& reader, StandInFault& fault) {
  switch (fault.kind) {
    case StandInFaultKind::kMisbehave:
      ReadMisbehaviour(reader, fault.faults);
      return;
    case StandInFaultKind::kRestart: {
      uint32_t milliseconds = 0;
      reader.Number("down_ms", milliseconds);
      fault.down = std::chrono::milliseconds(milliseconds);
      return;
    }
    case StandInFaultKind::kRepartition:
      reader.Number("generation", fault.snapshot.generation);
      reader.Number("units", fault.units);
      if (fault.snapshot.generation == 0 || fault.units == 0) {
        reader.Fail("repartition needs a generation and units above 0");
      }
      [[fallthrough]];
    case StandInFaultKind::kChangeVersion:
      reader.Number("version", fault.snapshot.index_version);
      return;
    default:
      return;
  }
}

}  // namespace

tl::expected<StandInFault, std::string> ParseStandInFault(
    std::string_view text) {
  const json parsed = json::parse(text, nullptr, false, true);
  if (!parsed.is_object()) {
    return tl::unexpected(std::string("expected a JSON object"));
  }
  FieldReader reader(parsed);
  const std::optional<json> name = reader.Take("fault");
  if (!name || !name->is_string()) {
    return tl::unexpected(std::string("fault: the name is missing"));
  }
  const auto kind = Kinds().find(name->get<std::string>());
  if (kind == Kinds().end()) {
    return tl::unexpected("fault: no such fault as " + name->dump());
  }
  StandInFault fault{.kind = kind->second};
  ReadFields(reader, fault);
  if (std::string error = reader.Finish(); !error.empty()) {
    return tl::unexpected(kind->first + ": " + error);
  }
  return fault;
}

}  // namespace knapweedroad
