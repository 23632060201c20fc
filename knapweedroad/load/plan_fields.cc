#include "knapweedroad/load/plan_fields.h"

#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

namespace knapweedroad {

using nlohmann::json;

PlanFields::PlanFields(const json& object,
                       std::string path,
                       std::vector<std::string>& errors)
    : object(&object), json_path(std::move(path)), found_errors(&errors) {
  if (!object.is_object()) {
    errors.push_back((this->json_path.empty() ? "/" : this->json_path) +
                     ": expected an object");
  }
}

const json* PlanFields::Find(const char* name) {
  this->read_fields.insert(name);
  return this->Has(name) ? &this->object->at(name) : nullptr;
}

bool PlanFields::Has(const char* name) const {
  return this->object->is_object() && this->object->contains(name);
}

void PlanFields::AddError(const char* name, const std::string& expected) {
  this->found_errors->push_back(this->json_path + "/" + name + ": " + expected);
}

std::string PlanFields::Text(const char* name, const char* default_value) {
  const json* field = this->Find(name);
  if (field == nullptr) {
    return default_value;
  }
  if (!field->is_string()) {
    this->AddError(name, "expected a string");
    return default_value;
  }
  return field->get<std::string>();
}

double PlanFields::Number(const char* name, double default_value) {
  const json* field = this->Find(name);
  if (field == nullptr) {
    return default_value;
  }
  if (!field->is_number() || field->get<double>() < 0) {
    this->AddError(name, "expected a non-negative number");
    return default_value;
  }
  return field->get<double>();
}

double PlanFields::Share(const char* name, double default_value) {
  const double share = this->Number(name, default_value);
  if (share > 1.0) {
    this->AddError(name, "expected a share from 0 to 1");
  }
  return share;
}

uint32_t PlanFields::UnsignedInteger(const char* name, uint32_t default_value) {
  const json* field = this->Find(name);
  if (field == nullptr) {
    return default_value;
  }
  if (!field->is_number_unsigned() ||
      field->get<uint64_t>() > std::numeric_limits<uint32_t>::max()) {
    this->AddError(name, "expected a non-negative integer");
    return default_value;
  }
  return field->get<uint32_t>();
}

bool PlanFields::Flag(const char* name, bool default_value) {
  const json* field = this->Find(name);
  if (field == nullptr) {
    return default_value;
  }
  if (!field->is_boolean()) {
    this->AddError(name, "expected true or false");
    return default_value;
  }
  return field->get<bool>();
}

Duration PlanFields::Milliseconds(const char* name, Duration default_value) {
  const json* field = this->Find(name);
  if (field == nullptr) {
    return default_value;
  }
  return std::chrono::milliseconds(this->UnsignedInteger(name, 0));
}

std::string PlanFields::RequiredText(const char* name) {
  std::string text = this->Text(name, "");
  if (text.empty()) {
    this->AddError(name, "required field is missing");
  }
  return text;
}

double PlanFields::RequiredNumber(const char* name) {
  const double number = this->Number(name, 0.0);
  if (number == 0.0) {
    this->AddError(name, "required, must be above zero");
  }
  return number;
}

Duration PlanFields::RequiredMilliseconds(const char* name) {
  const Duration time = this->Milliseconds(name, Duration::zero());
  if (time == Duration::zero()) {
    this->AddError(name, "required, must be above zero");
  }
  return time;
}

std::vector<const json*> PlanFields::Elements(const char* name, bool required) {
  const json* field = this->Find(name);
  std::vector<const json*> elements;
  if (field != nullptr && !field->is_array()) {
    this->AddError(name, "expected an array");
    return elements;
  }
  if (field != nullptr) {
    for (const json& element : *field) {
      elements.push_back(&element);
    }
  }
  if (required && elements.empty()) {
    this->AddError(name, "required, must have at least one element");
  }
  return elements;
}

void PlanFields::ReportUnknownFields() {
  if (!this->object->is_object()) {
    return;
  }
  for (const auto& [name, value] : this->object->items()) {
    if (!this->read_fields.contains(name)) {
      this->AddError(name.c_str(), "unknown field");
    }
  }
}

}  // namespace knapweedroad
