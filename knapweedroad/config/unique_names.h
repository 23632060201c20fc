// Finds a name that stands twice in a list.

#ifndef KNAPWEEDROAD_CONFIG_UNIQUE_NAMES_H_
#define KNAPWEEDROAD_CONFIG_UNIQUE_NAMES_H_

#include <map>
#include <string>
#include <string_view>

namespace knapweedroad {

class ObjectReader;

class UniqueNames {
 public:
  // Reports `key` of `reader` where an earlier element had the same value;
  // `what` names what it is in the message ("name", "address").
  void Check(ObjectReader& reader,
             std::string_view key,
             const std::string& value,
             std::string_view what);

 private:
  // Each value with the path where it stood first.
  std::map<std::string, std::string> first;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_UNIQUE_NAMES_H_
