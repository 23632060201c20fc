#include "knapweedroad/config/object_reader.h"

#include <algorithm>

#include "knapweedroad/config/error_list.h"
#include "knapweedroad/config/name_rule.h"

namespace knapweedroad {

ObjectReader::ObjectReader(const JsonDocument& document,
                           const JsonNode& object,
                           std::string path,
                           ErrorList& errors)
    : document(document),
      errors(errors),
      path(std::move(path)),
      position(object.position),
      is_object(object.kind == JsonKind::kObject) {
  if (!this->is_object) {
    this->errors.Add(
        this->position, this->path,
        std::string("expected an object, found ") + ToString(object.kind),
        "write an object in braces");
    return;
  }
  for (const size_t index : object.children) {
    const JsonNode& member = this->document.node(index);
    const auto [first, inserted] =
        this->members.try_emplace(member.key, &member);
    if (!inserted) {
      const size_t line = first->second->key_position.line;
      this->errors.Add(
          member.key_position, this->PathOf(member.key), "the key stands twice",
          "keep this one or the one in line " + std::to_string(line));
    }
  }
}

bool ObjectReader::Each(std::string_view key, const ReadElement& read) {
  const JsonNode* array = this->FindRequired(key);
  if (array == nullptr) {
    return false;
  }
  if (array->kind != JsonKind::kArray) {
    this->Fail(key,
               std::string("expected an array, found ") + ToString(array->kind),
               "write an array in square brackets");
    return false;
  }
  if (array->children.empty()) {
    this->Fail(key, "the array is empty", "write at least one element");
  }
  for (size_t i = 0; i < array->children.size(); ++i) {
    read(this->document.node(array->children[i]),
         this->PathOf(key) + "[" + std::to_string(i) + "]");
  }
  return true;
}

std::optional<ObjectReader::Counts> ObjectReader::RequiredCounts(
    std::string_view key) {
  return this->ReadCounts(key, this->FindRequired(key));
}

std::optional<ObjectReader::Counts> ObjectReader::OptionalCounts(
    std::string_view key) {
  return this->ReadCounts(key, this->Find(key));
}

std::optional<ObjectReader::Counts> ObjectReader::ReadCounts(
    std::string_view key,
    const JsonNode* value) {
  if (value == nullptr) {
    return std::nullopt;
  }
  ObjectReader reader(this->document, *value, this->PathOf(key), this->errors);
  if (!reader.is_object) {
    return std::nullopt;
  }
  Counts counts;
  for (const auto& [name, member] : reader.members) {
    if (!IsName(name)) {
      this->errors.Add(member->key_position, reader.PathOf(name),
                       Quoted(name) + " is no name", std::string(kNameRule));
      continue;
    }
    counts[std::string(name)] = CountField{
        .value = reader.Required(name, ReadCount),
        .position = member->key_position,
        .path = reader.PathOf(name),
    };
  }
  return counts;
}

void ObjectReader::Forbid(std::string_view key,
                          std::string_view reason,
                          std::string_view remedy) {
  const JsonNode* value = this->Find(key);
  if (value != nullptr) {
    this->errors.Add(value->key_position, this->PathOf(key),
                     std::string(reason), std::string(remedy));
  }
}

void ObjectReader::Finish() {
  for (const auto& [key, member] : this->members) {
    if (this->IsKnown(key)) {
      continue;
    }
    this->errors.Add(member->key_position, this->PathOf(key),
                     "the key " + Quoted(key) + " is not known here",
                     this->errors.Suggest(key, this->known, "take it out"));
  }
}

void ObjectReader::Fail(std::string_view key,
                        std::string message,
                        std::string remedy) {
  this->errors.Add(this->PlaceOf(key), this->PathOf(key), std::move(message),
                   std::move(remedy));
}

JsonPosition ObjectReader::PlaceOf(std::string_view key) const {
  const auto found = this->members.find(key);
  return found == this->members.end() ? this->position
                                      : found->second->position;
}

std::string ObjectReader::PathOf(std::string_view key) const {
  const std::string prefix = this->path.empty() ? "" : this->path + ".";
  return prefix + Excerpt(key);
}

const JsonNode* ObjectReader::Find(std::string_view key) {
  this->known.push_back(key);
  const auto found = this->members.find(key);
  return found == this->members.end() ? nullptr : found->second;
}

const JsonNode* ObjectReader::FindRequired(std::string_view key) {
  const JsonNode* value = this->Find(key);
  if (value == nullptr && this->is_object) {
    this->Fail(key, "the key is missing", "write it");
  }
  return value;
}

bool ObjectReader::IsKnown(std::string_view key) const {
  return std::find(this->known.begin(), this->known.end(), key) !=
         this->known.end();
}

std::optional<JsonDocument> ParseDocument(std::string_view text,
                                          ErrorList& errors) {
  tl::expected<JsonDocument, JsonSyntaxError> document =
      JsonDocument::Parse(text);
  if (!document) {
    errors.Add(document.error().position, "", document.error().message,
               "mend the JSON here; comments are // and /* */");
    return std::nullopt;
  }
  return *std::move(document);
}

}  // namespace knapweedroad
