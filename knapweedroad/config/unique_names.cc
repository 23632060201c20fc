#include "knapweedroad/config/unique_names.h"

#include "knapweedroad/config/object_reader.h"

namespace knapweedroad {

void UniqueNames::Check(ObjectReader& reader,
                        std::string_view key,
                        const std::string& value,
                        std::string_view what) {
  const auto [place, inserted] = this->first.emplace(value, reader.PathOf(key));
  if (!inserted) {
    reader.Fail(
        key, "the " + std::string(what) + " " + Quoted(value) + " stands twice",
        "change this one or the one at " + place->second);
  }
}

}  // namespace knapweedroad
