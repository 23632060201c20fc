#include "knapweedroad/host/quorum_report.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/host/control_service.h"

namespace knapweedroad {
namespace {

template <typename Members>
std::string Join(const Members& members) {
  std::ostringstream text;
  for (const MemberId& member : members) {
    text << (text.view().empty() ? "" : " ") << member;
  }
  return std::move(text).str();
}

void KeepMembers(std::optional<BallotedValue>& balloted) {
  if (balloted) {
    ControlValue& value = balloted->value;
    value = {.version = value.version, .members = std::move(value.members)};
  }
}

}  // namespace

std::string_view QuorumState(const ControlPeek& peek) {
  if (peek.chosen) {
    return "chosen";
  }
  if (peek.answering.empty()) {
    return "no_answer";
  }
  if (!peek.newest) {
    return "no_membership";
  }
  return peek.has_quorum ? "undecided" : "no_quorum";
}

void AddQuorumReport(LogLine& line, const ControlPeek& peek) {
  line.Add("state", QuorumState(peek));
  if (peek.newest) {
    const ControlValue& value = peek.newest->value;
    const std::vector<MemberId> members = value.members.Everyone();
    std::vector<MemberId> missing;
    std::ranges::copy_if(members, std::back_inserter(missing),
                         [&](const MemberId& member) {
                           return !peek.answering.contains(member);
                         });
    line.Add("version", value.version)
        .Add("epoch", value.members.epoch)
        .Add("phase", static_cast<int>(value.members.phase))
        .Add("members", Join(members))
        .Add("missing", Join(missing))
        .Add("holding", Join(peek.holding));
  }
  line.Add("answering", Join(peek.answering));
}

size_t CountAnsweringMembers(const ControlPeek& peek) {
  if (!peek.newest) {
    return 0;
  }
  const std::vector<MemberId> members = peek.newest->value.members.Everyone();
  return static_cast<size_t>(std::ranges::count_if(
      members,
      [&](const MemberId& member) { return peek.answering.contains(member); }));
}

ControlPeek KeepForReport(ControlPeek peek) {
  KeepMembers(peek.chosen);
  KeepMembers(peek.newest);
  return peek;
}

}  // namespace knapweedroad
