#include "knapweedroad/edge/agreed_editor.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <tl/expected.hpp>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

// How long a read waits for replicas to tell what they hold; after that it
// takes a vote.
constexpr Duration kPeekTimeout = std::chrono::milliseconds(350);

}  // namespace

AgreedEditor::AgreedEditor(AgreedEditorOptions options)
    : options(std::move(options)) {}

bool AgreedEditor::Edit(const std::string& name,
                        std::function<void(AgreedState&)> edit,
                        TimePoint deadline) {
  const ChangeOutcome outcome = this->options.service.Change(
      {.author = {this->options.author, RandomRequestId()},
       .edit = [edit = std::move(edit)](std::string_view held)
           -> tl::expected<std::string, std::string> {
         auto state = DecodeAgreedState(held);
         if (!state) {
           return tl::unexpected(state.error());
         }
         edit(*state);
         return EncodeAgreedState(*state);
       },
       .edit_name = name,
       .only_if_changed = true},
      deadline);
  const bool is_accepted = outcome.result == ChangeResult::kAccepted;
  ++(is_accepted ? this->changes_accepted : this->changes_unknown);
  LogLine("change")
      .Add("change", name)
      .Add("accepted", is_accepted)
      .Add("version", outcome.version)
      .Add("detail", outcome.detail)
      .Info();
  return is_accepted;
}

bool AgreedEditor::PutRouting(uint64_t number,
                              std::string text,
                              TimePoint deadline) {
  return this->Edit(
      "configuration " + std::to_string(number),
      [number, text = std::move(text)](AgreedState& state) {
        PutIfNewer(state, number, text);
      },
      deadline);
}

bool AgreedEditor::SetZoneOut(const ZoneId& zone,
                              bool is_out,
                              TimePoint deadline) {
  return this->Edit(
      "zone " + zone.str() + (is_out ? " out" : " in"),
      [zone, is_out](AgreedState& state) {
        knapweedroad::SetZoneOut(state, zone, is_out);
      },
      deadline);
}

bool AgreedEditor::EditRollouts(
    const std::string& name,
    std::function<void(std::vector<RolloutRecord>& rollouts)> edit,
    TimePoint deadline) {
  return this->Edit(
      name,
      [edit = std::move(edit)](AgreedState& state) { edit(state.rollouts); },
      deadline);
}

bool AgreedEditor::ReplaceQuotaLeader(const QuotaLeaderRecord& seen,
                                      const QuotaLeaderRecord& next,
                                      TimePoint deadline) {
  return this->Edit(
      "quota leader " + next.host.str() + " term " + std::to_string(next.term),
      [seen, next](AgreedState& state) {
        if (state.quota_leader == seen) {
          state.quota_leader = next;
        }
      },
      deadline);
}

std::optional<AgreedState> AgreedEditor::Read(TimePoint deadline) {
  const ControlPeek peek = this->options.service.Peek(
      std::min(deadline, Runtime::Now() + kPeekTimeout), /*soon=*/true);
  std::string text;
  if (peek.chosen) {
    text = peek.chosen->value.configuration;
    this->options.on_chosen(peek.chosen->value.version, text);
  } else {
    const auto value = this->options.service.Read(deadline);
    if (!value) {
      return std::nullopt;
    }
    text = value->configuration;
  }
  auto state = DecodeAgreedState(text);
  if (!state) {
    LogLine("agreed_state_unreadable").Add("detail", state.error()).Error();
    return std::nullopt;
  }
  return *std::move(state);
}

}  // namespace knapweedroad
