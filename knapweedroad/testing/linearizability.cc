#include "knapweedroad/testing/linearizability.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>
#include <vector>

namespace knapweedroad {
namespace {

using Verdict = tl::expected<void, std::string>;
using AuthorKey = std::pair<std::string, std::string>;

constexpr int64_t kBeforeAll = std::numeric_limits<int64_t>::min();
constexpr int64_t kAfterAll = std::numeric_limits<int64_t>::max();

std::string Name(const AuthorKey& key) {
  return key.first + "/" + key.second;
}

std::string VersionName(uint64_t version) {
  return "version " + std::to_string(version);
}

// All sendings of one request: it was decided once, after the first of them
// started and before the first answer.
struct Change {
  std::optional<uint64_t> base_version;
  std::optional<std::string> text;
  int64_t start = kAfterAll;
  int64_t decided_by = kAfterAll;
  HistoryResult result = HistoryResult::kOpen;
  uint64_t version = 0;
  AuthorKey winner;
};

// The moment a version came into force lies between these.
struct Bounds {
  int64_t after = kBeforeAll;
  int64_t before = kAfterAll;
};

class Checker {
 public:
  Verdict Check(std::span<const HistoryOperation> history) {
    return this->GroupChanges(history)
        .and_then([&] { return this->NameMakersByAnswers(); })
        .and_then([&] { return this->NameMakersByReads(history); })
        .and_then([&] { return this->BoundVersions(history); })
        .and_then([&] { return this->CheckBounds(); });
  }

 private:
  Verdict GroupChanges(std::span<const HistoryOperation> history) {
    for (const HistoryOperation& operation : history) {
      if (operation.kind == HistoryKind::kRead) {
        continue;
      }
      const AuthorKey key{operation.operator_id, operation.request_id};
      if (auto added = this->AddToGroup(key, operation); !added.has_value()) {
        return added;
      }
    }
    return {};
  }

  Verdict AddToGroup(const AuthorKey& key, const HistoryOperation& operation) {
    Change& change = this->changes[key];
    change.base_version = operation.base_version;
    change.text = operation.text;
    change.start = std::min(change.start, operation.start_ns);
    if (operation.result == HistoryResult::kOpen) {
      return {};
    }
    const AuthorKey winner{operation.winner_operator, operation.winner_request};
    if (change.result != HistoryResult::kOpen &&
        (change.result != operation.result ||
         change.version != operation.version || change.winner != winner)) {
      return tl::unexpected(Name(key) + " was answered in two ways");
    }
    change.result = operation.result;
    change.version = operation.version;
    change.winner = winner;
    change.decided_by = std::min(change.decided_by, operation.end_ns);
    return {};
  }

  Verdict SetMaker(uint64_t version, const AuthorKey& key) {
    const auto [entry, added] = this->makers.try_emplace(version, key);
    if (entry->second != key) {
      return tl::unexpected(VersionName(version) + " was made by both " +
                            Name(entry->second) + " and " + Name(key));
    }
    const auto change = this->changes.find(key);
    if (change == this->changes.end()) {
      return tl::unexpected(Name(key) + " won but was never sent");
    }
    if (change->second.result == HistoryResult::kRejected) {
      return tl::unexpected(Name(key) + " was rejected but made " +
                            VersionName(version));
    }
    if (change->second.result == HistoryResult::kAccepted &&
        change->second.version != version) {
      return tl::unexpected(Name(key) + " made two versions");
    }
    if (change->second.base_version.value_or(version - 1) != version - 1) {
      return tl::unexpected(Name(key) + " made " + VersionName(version) +
                            " from another base");
    }
    return {};
  }

  Verdict NameMakersByAnswers() {
    for (const auto& [key, change] : this->changes) {
      Verdict named;
      if (change.result == HistoryResult::kAccepted) {
        named = this->SetMaker(change.version, key);
      } else if (change.result == HistoryResult::kRejected &&
                 change.base_version.has_value() &&
                 !change.winner.first.empty()) {
        named = this->SetMaker(*change.base_version + 1, change.winner);
      }
      if (!named.has_value()) {
        return named;
      }
    }
    return {};
  }

  Verdict NameMakersByReads(std::span<const HistoryOperation> history) {
    for (const HistoryOperation& read : history) {
      if (read.kind == HistoryKind::kChange ||
          read.result == HistoryResult::kOpen || !read.text.has_value()) {
        continue;
      }
      if (auto named = this->NameMakerByRead(read); !named.has_value()) {
        return named;
      }
    }
    return {};
  }

  Verdict NameMakerByRead(const HistoryOperation& read) {
    if (read.version == 0) {
      return read.text->empty()
                 ? Verdict()
                 : tl::unexpected(std::string("version 0 had a text"));
    }
    const auto maker = this->makers.find(read.version);
    if (maker != this->makers.end()) {
      const auto& text = this->changes[maker->second].text;
      return !text.has_value() || text == read.text
                 ? Verdict()
                 : tl::unexpected(VersionName(read.version) + " read '" +
                                  *read.text + "' but " + Name(maker->second) +
                                  " made it of '" + *text + "'");
    }
    for (const auto& [key, change] : this->changes) {
      if (change.text == read.text) {
        return this->SetMaker(read.version, key);
      }
    }
    return tl::unexpected(VersionName(read.version) + " read '" + *read.text +
                          "', which nobody wrote");
  }

  // An open change that may have made the version nobody claims.
  std::optional<int64_t> EarliestOpenStart(uint64_t version) const {
    std::optional<int64_t> earliest;
    for (const auto& [key, change] : this->changes) {
      if (change.result == HistoryResult::kOpen &&
          change.base_version.value_or(version - 1) == version - 1) {
        earliest = std::min(earliest.value_or(kAfterAll), change.start);
      }
    }
    return earliest;
  }

  Verdict BoundVersions(std::span<const HistoryOperation> history) {
    uint64_t newest = 0;
    for (const HistoryOperation& operation : history) {
      if (operation.result != HistoryResult::kOpen) {
        newest = std::max(newest, operation.version);
      }
    }
    if (!this->makers.empty()) {
      newest = std::max(newest, this->makers.rbegin()->first);
    }
    this->bounds.resize(newest + 2);
    for (uint64_t version = 1; version <= newest; ++version) {
      const auto maker = this->makers.find(version);
      if (maker != this->makers.end()) {
        const Change& change = this->changes[maker->second];
        this->bounds[version] = {change.start, change.decided_by};
        continue;
      }
      const auto start = this->EarliestOpenStart(version);
      if (!start.has_value()) {
        return tl::unexpected("nobody can have made " + VersionName(version));
      }
      this->bounds[version].after = *start;
    }
    for (const HistoryOperation& operation : history) {
      if (operation.kind == HistoryKind::kRead &&
          operation.result != HistoryResult::kOpen) {
        this->SawInForce(operation.version, operation.start_ns,
                         operation.end_ns);
      }
    }
    for (const auto& [key, change] : this->changes) {
      if (change.result == HistoryResult::kRejected) {
        this->SawInForce(change.version, change.start, change.decided_by);
      }
    }
    return {};
  }

  // Some moment between `start` and `end` had `version` in force.
  void SawInForce(uint64_t version, int64_t start, int64_t end) {
    Bounds& own = this->bounds[version];
    own.before = std::min(own.before, end);
    Bounds& next = this->bounds[version + 1];
    next.after = std::max(next.after, start);
  }

  Verdict CheckBounds() {
    for (size_t version = 1; version < this->bounds.size(); ++version) {
      this->bounds[version].after = std::max(this->bounds[version].after,
                                             this->bounds[version - 1].after);
    }
    int64_t before = kAfterAll;
    for (size_t version = this->bounds.size() - 1; version > 0; --version) {
      before = std::min(before, this->bounds[version].before);
      if (this->bounds[version].after > before) {
        return tl::unexpected(VersionName(version) +
                              " came into force before " +
                              std::to_string(before) + " and after " +
                              std::to_string(this->bounds[version].after));
      }
    }
    return {};
  }

  std::map<AuthorKey, Change> changes;
  std::map<uint64_t, AuthorKey> makers;
  std::vector<Bounds> bounds;
};

}  // namespace

tl::expected<void, std::string> CheckLinearizable(
    std::span<const HistoryOperation> history) {
  return Checker().Check(history);
}

}  // namespace knapweedroad
