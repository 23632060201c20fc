#include "knapweedroad/host/replica_path.h"

#include <string>
#include <vector>

namespace knapweedroad {
namespace {

// Empty if a word is.
std::vector<std::string> SplitWords(std::string_view words) {
  std::vector<std::string> split;
  while (true) {
    const size_t slash = words.find('/');
    split.emplace_back(words.substr(0, slash));
    if (split.back().empty()) {
      return {};
    }
    if (slash == std::string_view::npos) {
      return split;
    }
    words.remove_prefix(slash + 1);
  }
}

}  // namespace

std::optional<MoveRequest> ParseReplicaPath(std::string_view words) {
  const std::vector<std::string> split = SplitWords(words);
  MoveRequest move;
  if (split.size() == 1 && split[0] == "give-up") {
    move.give_up = true;
    return move;
  }
  if (split.size() == 2 && split[0] == "add") {
    move.joining = HostId(split[1]);
    return move;
  }
  if (split.size() == 2 && split[0] == "remove") {
    move.leaving = HostId(split[1]);
    return move;
  }
  if (split.size() == 3 && split[0] == "replace") {
    move.leaving = HostId(split[1]);
    move.joining = HostId(split[2]);
    return move;
  }
  return std::nullopt;
}

}  // namespace knapweedroad
