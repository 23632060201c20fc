// A list that one host keeps up to date at others: the whole of it once, then
// what has changed.
//
//   ToldList<EntryHostRecord, HostId> told;         // at the host that tells
//   told.Set(hosts, ++revision);
//   ListNews<EntryHostRecord, HostId> news = told.Since(their_revision);
//
//   HeardList<EntryHostRecord, HostId> heard;       // at a host that hears
//   heard.Take(std::move(news));
//   Use(heard.items());
//
// Answers the pattern of lists that grow with the hosts and change all the
// time: told whole with each change their bytes grow with the square of the
// hosts.

#ifndef KNAPWEEDROAD_REGISTRY_VERSIONED_LIST_H_
#define KNAPWEEDROAD_REGISTRY_VERSIONED_LIST_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace knapweedroad {

// Items are told from each other by KeyOf(item), found beside their type.
template <typename Item, typename Key>
struct ListDelta {
  // Whether `put` is the whole list, and not what is new or different in it.
  bool is_full = false;
  std::vector<Item> upserted;
  std::vector<Key> removed;

  friend bool operator==(const ListDelta&, const ListDelta&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->is_full, this->upserted, this->removed);
  }
};

template <typename Item, typename Key>
class VersionedList {
 public:
  using Delta = ListDelta<Item, Key>;

  // `items`, no two with one key, is the list as of `revision`, which rises
  // with each call.
  void Set(std::vector<Item> items, uint64_t revision) {
    std::map<Key, Item> next;
    for (Item& item : items) {
      Key key = KeyOf(item);
      next.emplace(std::move(key), std::move(item));
    }
    this->RecordStep(this->ComputeDelta(next), revision);
    this->list = std::move(next);
    this->newest = revision;
  }

  // What a host that has the list of `revision` is to hear: all, where that is
  // zero or isn't known any more.
  Delta DeltaSince(uint64_t revision) const {
    if (revision == 0 || revision < this->oldest_revision ||
        revision > this->newest) {
      return {.is_full = true, .upserted = this->items()};
    }
    return revision == this->newest ? Delta() : this->MergeSteps(revision);
  }

  std::vector<Item> items() const {
    std::vector<Item> all;
    all.reserve(this->list.size());
    for (const auto& [key, item] : this->list) {
      all.push_back(item);
    }
    return all;
  }

 private:
  struct Step {
    uint64_t revision = 0;
    Delta delta;
  };

  // Over all steps that are remembered. A host that lags more gets it all.
  static constexpr size_t kMaxRetainedChanges = 2000;

  Delta ComputeDelta(const std::map<Key, Item>& next) const {
    Delta delta;
    for (const auto& [key, item] : next) {
      const auto current = this->list.find(key);
      if (current == this->list.end() || !(current->second == item)) {
        delta.upserted.push_back(item);
      }
    }
    for (const auto& [key, item] : this->list) {
      if (!next.contains(key)) {
        delta.removed.push_back(key);
      }
    }
    return delta;
  }

  void RecordStep(Delta delta, uint64_t revision) {
    this->retained_changes += SizeOf(delta);
    this->steps.push_back({.revision = revision, .delta = std::move(delta)});
    while (this->retained_changes > kMaxRetainedChanges &&
           !this->steps.empty()) {
      this->retained_changes -= SizeOf(this->steps.front().delta);
      this->oldest_revision = this->steps.front().revision;
      this->steps.pop_front();
    }
  }

  // Of each key only the last that was told.
  Delta MergeSteps(uint64_t revision) const {
    std::map<Key, bool> touched;
    for (const Step& step : this->steps) {
      if (step.revision <= revision) {
        continue;
      }
      for (const Item& item : step.delta.upserted) {
        touched[KeyOf(item)] = true;
      }
      for (const Key& key : step.delta.removed) {
        touched[key] = true;
      }
    }
    Delta delta;
    for (const auto& [key, is_touched] : touched) {
      const auto current = this->list.find(key);
      if (current == this->list.end()) {
        delta.removed.push_back(key);
      } else {
        delta.upserted.push_back(current->second);
      }
    }
    return delta;
  }

  static size_t SizeOf(const Delta& delta) {
    return 1 + delta.upserted.size() + delta.removed.size();
  }

  std::map<Key, Item> list;
  uint64_t newest = 0;
  // Steps are remembered from this revision on.
  uint64_t oldest_revision = 0;
  std::deque<Step> steps;
  size_t retained_changes = 0;
};

template <typename Item, typename Key>
class ListReplica {
 public:
  void Apply(ListDelta<Item, Key> delta) {
    if (delta.is_full) {
      this->list.clear();
    }
    for (Item& item : delta.upserted) {
      Key key = KeyOf(item);
      this->list.insert_or_assign(std::move(key), std::move(item));
    }
    for (const Key& key : delta.removed) {
      this->list.erase(key);
    }
  }

  std::vector<Item> items() const {
    std::vector<Item> all;
    all.reserve(this->list.size());
    for (const auto& [key, item] : this->list) {
      all.push_back(item);
    }
    return all;
  }

 private:
  std::map<Key, Item> list;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_REGISTRY_VERSIONED_LIST_H_
