// Reads one JSON object of a scenario field by field and notes each error with
// its place, so that all errors of a file show at once.
//
//   PlanFields fields(object, "/streams/0", errors);
//   stream.limit = fields.Whole("limit", 100);
//   fields.Finish();  // whatever is left is unknown

#ifndef KNAPWEEDROAD_LOAD_PLAN_FIELDS_H_
#define KNAPWEEDROAD_LOAD_PLAN_FIELDS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "knapweedroad/base/time.h"

namespace knapweedroad {

class PlanFields {
 public:
  // All three outlive this.
  PlanFields(const nlohmann::json& object,
             std::string path,
             std::vector<std::string>& errors);

  // Each reads a field, or gives the default where it is absent.
  std::string Text(const char* name, const char* default_value);
  double Number(const char* name, double default_value);
  double Share(const char* name, double default_value);
  uint32_t UnsignedInteger(const char* name, uint32_t default_value);
  bool Flag(const char* name, bool default_value);
  // `name` ends in _ms.
  Duration Milliseconds(const char* name, Duration default_value);

  // As above; an error where the field is absent.
  std::string RequiredText(const char* name);
  double RequiredNumber(const char* name);
  Duration RequiredMilliseconds(const char* name);

  // The field itself, or nullptr.
  const nlohmann::json* Find(const char* name);
  // The elements of an array field; an error where it is no array.
  std::vector<const nlohmann::json*> Elements(const char* name, bool required);

  bool Has(const char* name) const;
  void AddError(const char* name, const std::string& expected);
  // Notes every field that nobody has read.
  void ReportUnknownFields();

  const std::string& path() const { return this->json_path; }
  std::vector<std::string>& errors() { return *this->found_errors; }

 private:
  const nlohmann::json* object;
  std::string json_path;
  std::vector<std::string>* found_errors;
  std::set<std::string> read_fields;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_PLAN_FIELDS_H_
