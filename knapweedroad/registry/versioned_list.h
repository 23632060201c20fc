// A list that one host replicates to others: in full first, then as changes.
//
//   VersionedList<EntryHostRecord, HostId> source;  // at the sender
//   source.Set(hosts, ++revision);
//   ListDelta<EntryHostRecord, HostId> delta =
//   source.DeltaSince(replica_revision);
//
//   ListReplica<EntryHostRecord, HostId> replica;  // at a receiver
//   replica.Apply(std::move(delta));
//   Use(replica.items());
//
// These lists grow with the number of hosts and change all the time. Sending
// them in full with each change costs bytes that grow with the square of the
// number of hosts.

#ifndef KNAPWEEDROAD_REGISTRY_VERSIONED_LIST_H_
#define KNAPWEEDROAD_REGISTRY_VERSIONED_LIST_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace knapweedroad {

// The changes to a list. KeyOf(item), declared next to the item type,
// identifies an item.
template <typename Item, typename Key>
struct ListDelta {
  // Whether `upserted` is the full list, rather than the new and changed items.
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

  // Sets the list as of `revision`, which must increase with each call. No two
  // of `items` may have the same key.
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

  // Returns the changes since `revision`. Returns the full list if `revision`
  // is zero, higher than the newest, or older than the retained changes.
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

  // The maximum number of changes retained over all steps. A replica that lags
  // further gets the full list.
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

  // Returns only the latest state of each key that changed after `revision`.
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
  // Changes after this revision are retained.
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
