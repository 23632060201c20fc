#include "knapweedroad/load/plan_fields.h"

#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

namespace knapweedroad {

using nlohmann::json;

PlanFields::PlanFields(const json& object,
                       std::string path,
                       std::vector<std::string>& errors)
    : object(&object), place(std::move(path)), found_errors(&errors) {
  if (!object.is_object()) {
    errors.push_back((this->place.empty() ? "/" : this->place) +
                     ": expected an object");
  }
}

const json* PlanFields::Find(const char* name) {
  this->known.insert(name);
  return this->Has(name) ? &this->object->at(name) : nullptr;
}

bool PlanFields::Has(const char* name) const {
  return this->object->is_object() && this->object->contains(name);
}

void PlanFields::Fail(const char* name, const std::string& expected) {
  this->found_errors->push_back(this->place + "/" + name + ": " + expected);
}

std::string PlanFields::Text(const char* name, const char* absent) {
  const json* field = this->Find(name);
  if (field == nullptr) {
    return absent;
  }
  if (!field->is_string()) {
    this->Fail(name, "expected a text");
    return absent;
  }
  return field->get<std::string>();
}

double PlanFields::Number(const char* name, double absent) {
  const json* field = this->Find(name);
  if (field == nullptr) {
    return absent;
  }
  if (!field->is_number() || field->get<double>() < 0) {
    this->Fail(name, "expected a number of zero or more");
    return absent;
  }
  return field->get<double>();
}

double PlanFields::Share(const char* name, double absent) {
  const double share = this->Number(name, absent);
  if (share > 1.0) {
    this->Fail(name, "expected a share from 0 to 1");
  }
  return share;
}

uint32_t PlanFields::Whole(const char* name, uint32_t absent) {
  const json* field = this->Find(name);
  if (field == nullptr) {
    return absent;
  }
  if (!field->is_number_unsigned() ||
      field->get<uint64_t>() > std::numeric_limits<uint32_t>::max()) {
    this->Fail(name, "expected a whole number of zero or more");
    return absent;
  }
  return field->get<uint32_t>();
}

bool PlanFields::Flag(const char* name, bool absent) {
  const json* field = this->Find(name);
  if (field == nullptr) {
    return absent;
  }
  if (!field->is_boolean()) {
    this->Fail(name, "expected true or false");
    return absent;
  }
  return field->get<bool>();
}

Duration PlanFields::Milliseconds(const char* name, Duration absent) {
  const json* field = this->Find(name);
  if (field == nullptr) {
    return absent;
  }
  return std::chrono::milliseconds(this->Whole(name, 0));
}

std::string PlanFields::RequiredText(const char* name) {
  std::string text = this->Text(name, "");
  if (text.empty()) {
    this->Fail(name, "is needed");
  }
  return text;
}

double PlanFields::RequiredNumber(const char* name) {
  const double number = this->Number(name, 0.0);
  if (number == 0.0) {
    this->Fail(name, "is needed, above zero");
  }
  return number;
}

Duration PlanFields::RequiredMilliseconds(const char* name) {
  const Duration time = this->Milliseconds(name, Duration::zero());
  if (time == Duration::zero()) {
    this->Fail(name, "is needed, above zero");
  }
  return time;
}

std::vector<const json*> PlanFields::Elements(const char* name, bool required) {
  const json* field = this->Find(name);
  std::vector<const json*> elements;
  if (field != nullptr && !field->is_array()) {
    this->Fail(name, "expected a list");
    return elements;
  }
  if (field != nullptr) {
    for (const json& element : *field) {
      elements.push_back(&element);
    }
  }
  if (required && elements.empty()) {
    this->Fail(name, "is needed, with at least one entry");
  }
  return elements;
}

void PlanFields::Finish() {
  if (!this->object->is_object()) {
    return;
  }
  for (const auto& [name, value] : this->object->items()) {
    if (!this->known.contains(name)) {
      this->Fail(name.c_str(), "unknown field");
    }
  }
}

}  // namespace knapweedroad
