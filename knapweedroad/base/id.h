// Names that can't be mixed up: a host's name is no target's name.
//
//   HostId host("brussel-a-1");
//   std::unordered_map<TargetId, Slots> slots;

#ifndef KNAPWEEDROAD_BASE_ID_H_
#define KNAPWEEDROAD_BASE_ID_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace knapweedroad {

// A name of one kind. `Tag` only tells the kinds apart.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string name) : name(std::move(name)) {}
  explicit Id(std::string_view name) : name(name) {}
  explicit Id(const char* name) : name(name) {}

  // The name as it stands in settings, messages and logs.
  const std::string& str() const { return this->name; }
  bool empty() const { return this->name.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.name;
  }

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->name);
  }

 private:
  std::string name;
};

using HostId = Id<struct HostTag>;        // an entry host of the system
using ZoneId = Id<struct ZoneTag>;        // an availability zone
using FrontId = Id<struct FrontTag>;      // a search front
using ServiceId = Id<struct ServiceTag>;  // one shard's service
using TargetId = Id<struct TargetTag>;    // one searcher of a service
using TenantId = Id<struct TenantTag>;    // whom a caller asks for
using VersionId = Id<struct VersionTag>;  // of the software that a target runs
using AccountId = Id<struct AccountTag>;  // a client account, by its name

}  // namespace knapweedroad

template <typename Tag>
struct std::hash<knapweedroad::Id<Tag>> {
  std::size_t operator()(const knapweedroad::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.str());
  }
};

#endif  // KNAPWEEDROAD_BASE_ID_H_
