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

#ifndef KNAPWEEDROAD_REGISTRY_TOLD_LIST_H_
#define KNAPWEEDROAD_REGISTRY_TOLD_LIST_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace knapweedroad {

// Items are told from each other by KeyOf(item), found beside their type.
template <typename Item, typename Key>
struct ListNews {
  // Whether `put` is the whole list, and not what is new or different in it.
  bool is_whole = false;
  std::vector<Item> put;
  std::vector<Key> gone;

  friend bool operator==(const ListNews&, const ListNews&) = default;

  // For cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->is_whole, this->put, this->gone);
  }
};

template <typename Item, typename Key>
class ToldList {
 public:
  using News = ListNews<Item, Key>;

  // `items`, no two with one key, is the list as of `revision`, which rises
  // with each call.
  void Set(std::vector<Item> items, uint64_t revision) {
    std::map<Key, Item> next;
    for (Item& item : items) {
      Key key = KeyOf(item);
      next.emplace(std::move(key), std::move(item));
    }
    this->Remember(this->Difference(next), revision);
    this->list = std::move(next);
    this->newest = revision;
  }

  // What a host that has the list of `revision` is to hear: all, where that is
  // zero or isn't known any more.
  News Since(uint64_t revision) const {
    if (revision == 0 || revision < this->known_from ||
        revision > this->newest) {
      return {.is_whole = true, .put = this->items()};
    }
    return revision == this->newest ? News() : this->Gather(revision);
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
    News news;
  };

  // Over all steps that are remembered. A host that lags more gets it all.
  static constexpr size_t kMostChanges = 2000;

  News Difference(const std::map<Key, Item>& next) const {
    News news;
    for (const auto& [key, item] : next) {
      const auto held = this->list.find(key);
      if (held == this->list.end() || !(held->second == item)) {
        news.put.push_back(item);
      }
    }
    for (const auto& [key, item] : this->list) {
      if (!next.contains(key)) {
        news.gone.push_back(key);
      }
    }
    return news;
  }

  void Remember(News news, uint64_t revision) {
    this->changes += SizeOf(news);
    this->steps.push_back({.revision = revision, .news = std::move(news)});
    while (this->changes > kMostChanges && !this->steps.empty()) {
      this->changes -= SizeOf(this->steps.front().news);
      this->known_from = this->steps.front().revision;
      this->steps.pop_front();
    }
  }

  // Of each key only the last that was told.
  News Gather(uint64_t revision) const {
    std::map<Key, bool> touched;
    for (const Step& step : this->steps) {
      if (step.revision <= revision) {
        continue;
      }
      for (const Item& item : step.news.put) {
        touched[KeyOf(item)] = true;
      }
      for (const Key& key : step.news.gone) {
        touched[key] = true;
      }
    }
    News news;
    for (const auto& [key, is_touched] : touched) {
      const auto held = this->list.find(key);
      if (held == this->list.end()) {
        news.gone.push_back(key);
      } else {
        news.put.push_back(held->second);
      }
    }
    return news;
  }

  static size_t SizeOf(const News& news) {
    return 1 + news.put.size() + news.gone.size();
  }

  std::map<Key, Item> list;
  uint64_t newest = 0;
  // Steps are remembered from this revision on.
  uint64_t known_from = 0;
  std::deque<Step> steps;
  size_t changes = 0;
};

template <typename Item, typename Key>
class HeardList {
 public:
  void Take(ListNews<Item, Key> news) {
    if (news.is_whole) {
      this->list.clear();
    }
    for (Item& item : news.put) {
      Key key = KeyOf(item);
      this->list.insert_or_assign(std::move(key), std::move(item));
    }
    for (const Key& key : news.gone) {
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

#endif  // KNAPWEEDROAD_REGISTRY_TOLD_LIST_H_
