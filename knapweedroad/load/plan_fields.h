// Reads the fields of one JSON object of a scenario and collects each error
// with its JSON path, so that all errors of a file are reported together.
//
//   PlanFields fields(object, "/streams/0", errors);
//   stream.limit = fields.UnsignedInteger("limit", 100);
//   fields.ReportUnknownFields();

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
  // `object` and `errors` must outlive this object.
  PlanFields(const nlohmann::json& object,
             std::string path,
             std::vector<std::string>& errors);

  // Each returns the value of a field, or `default_value` if it is absent. An
  // invalid value adds an error.
  std::string Text(const char* name, const char* default_value);
  double Number(const char* name, double default_value);
  double Share(const char* name, double default_value);
  uint32_t UnsignedInteger(const char* name, uint32_t default_value);
  bool Flag(const char* name, bool default_value);
  // `name` ends in _ms.
  Duration Milliseconds(const char* name, Duration default_value);

  // As above, but an absent field adds an error.
  std::string RequiredText(const char* name);
  double RequiredNumber(const char* name);
  Duration RequiredMilliseconds(const char* name);

  // Returns the field, or nullptr if it is absent.
  const nlohmann::json* Find(const char* name);
  // Returns the elements of an array field. Adds an error if it is not an
  // array, or if it is required and has no elements.
  std::vector<const nlohmann::json*> Elements(const char* name, bool required);

  bool Has(const char* name) const;
  void AddError(const char* name, const std::string& expected);
  // Adds an error for every field that was not read.
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
