// Reads the members of one JSON object and reports every fault of it.
//
//   ObjectReader reader(document, node, "fronts[0]", errors);
//   auto deadline = reader.Required("max_deadline", ReadPositiveDuration);
//   auto budget = reader.Optional("retry_budget", 0.1, ReadShare);
//   reader.Finish();
//
// A field that is missing or wrong comes back empty, after its fault has been
// reported: a check between fields is made only where all of them are there, so
// that one fault isn't reported as several.

#ifndef KNAPWEEDROAD_CONFIG_OBJECT_READER_H_
#define KNAPWEEDROAD_CONFIG_OBJECT_READER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "knapweedroad/config/field_value.h"
#include "knapweedroad/config/json_document.h"

namespace knapweedroad {

class ErrorList;

// A count that stands under a name, and where the name stands.
struct CountField {
  std::optional<uint32_t> value;
  JsonPosition position;
  std::string path;
};

class ObjectReader {
 public:
  // Reports keys that stand twice, and a value that is no object: then every
  // field comes back empty without a further fault. `path` is empty for the
  // root. `document` and `errors` outlive the reader.
  ObjectReader(const JsonDocument& document,
               const JsonNode& object,
               std::string path,
               ErrorList& errors);

  // The field's value; its absence is a fault.
  template <typename Read>
  auto Required(std::string_view key, Read read) {
    const JsonNode* value = this->FindRequired(key);
    return this->Convert(key, value, std::move(read));
  }

  // The field's value, `fallback` where it is absent, empty where it is wrong.
  template <typename Value, typename Read>
  std::optional<Value> Optional(std::string_view key,
                                Value fallback,
                                Read read) {
    const JsonNode* value = this->Find(key);
    if (value == nullptr) {
      return fallback;
    }
    return this->Convert(key, value, std::move(read));
  }

  // A required array with at least one element: calls `read` with each and its
  // path. False where the array is missing or no array.
  using ReadElement =
      std::function<void(const JsonNode& element, std::string path)>;
  bool Each(std::string_view key, const ReadElement& read);

  // The members of an object that maps names to counts above 0, each empty
  // where the number was wrong; members whose key is no name are left out.
  // Empty as a whole where it is absent or no object. Faults are reported.
  using Counts = std::map<std::string, CountField>;
  std::optional<Counts> RequiredCounts(std::string_view key);
  std::optional<Counts> OptionalCounts(std::string_view key);

  // Reports the key, where it stands, as one that has no meaning here.
  void Forbid(std::string_view key,
              std::string_view reason,
              std::string_view remedy);

  // Reports every key that was never asked for.
  void Finish();

  // Reports a fault of the field's value, or of the object where it is absent.
  void Fail(std::string_view key, std::string message, std::string remedy);

  // Where a fault of the field is reported.
  JsonPosition PlaceOf(std::string_view key) const;

  // The path of a field: "fronts[0].name".
  std::string PathOf(std::string_view key) const;

  // The field's value, or null. Its key counts as known from then on.
  const JsonNode* Find(std::string_view key);

  const JsonDocument& document;
  ErrorList& errors;

 private:
  template <typename Read>
  auto Convert(std::string_view key, const JsonNode* value, Read read) {
    using Value = typename decltype(read(*value))::value_type;
    if (value == nullptr) {
      return std::optional<Value>();
    }
    auto converted = read(*value);
    if (!converted) {
      this->Fail(key, converted.error().message, converted.error().remedy);
      return std::optional<Value>();
    }
    return std::optional<Value>(*std::move(converted));
  }

  const JsonNode* FindRequired(std::string_view key);
  std::optional<Counts> ReadCounts(std::string_view key, const JsonNode* value);
  bool IsKnown(std::string_view key) const;

  std::string path;
  JsonPosition position;
  bool is_object;
  // The first member of each key.
  std::map<std::string_view, const JsonNode*> members;
  std::vector<std::string_view> known;
};

// Parses the text; a text that is no JSON is reported and comes back empty.
std::optional<JsonDocument> ParseDocument(std::string_view text,
                                          ErrorList& errors);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_OBJECT_READER_H_
