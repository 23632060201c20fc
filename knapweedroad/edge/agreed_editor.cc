#include "knapweedroad/edge/agreed_editor.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <tl/expected.hpp>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/role_parts.h"
#include "knapweedroad/host/control_service.h"
#include "knapweedroad/host/quorum_report.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

// How long a read waits for replicas to tell what they hold; after that it
// takes a vote.
constexpr Duration kPeekTimeout = std::chrono::milliseconds(350);

}  // namespace

AgreedEditor::AgreedEditor(AgreedEditorOptions options)
    : options(std::move(options)) {}

ChangeOutcome AgreedEditor::Apply(const std::string& name,
                                  std::function<void(AgreedState&)> edit,
                                  std::optional<uint64_t> base,
                                  TimePoint deadline) {
  ChangeOutcome outcome = this->options.service.Change(
      {.author = {this->options.author, RandomRequestId()},
       .base_version = base,
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
  this->ReportChange(name, outcome);
  return outcome;
}

void AgreedEditor::ReportChange(const std::string& name,
                                const ChangeOutcome& outcome) {
  LogLine line("change");
  line.Add("change", name)
      .Add("accepted", outcome.result == ChangeResult::kAccepted)
      .Add("reason", static_cast<int>(outcome.reason))
      .Add("detail", outcome.detail);
  if (outcome.reason != ChangeReason::kNoQuorum) {
    line.Add("version", outcome.version);
  } else if (this->change_reports.Admit(Runtime::Now())) {
    AddQuorumReport(line, this->options.last_look());
  }
  line.Info();
}

bool AgreedEditor::Edit(const std::string& name,
                        std::function<void(AgreedState&)> edit,
                        TimePoint deadline) {
  return this->Apply(name, std::move(edit), std::nullopt, deadline).result ==
         ChangeResult::kAccepted;
}

OrderResult AgreedEditor::Order(const std::string& name,
                                std::function<void(AgreedState&)> edit,
                                uint64_t base,
                                TimePoint deadline) {
  const ChangeOutcome outcome =
      this->Apply(name, std::move(edit), base, deadline);
  if (outcome.result == ChangeResult::kAccepted) {
    return OrderResult::kDone;
  }
  const bool is_changed = outcome.result == ChangeResult::kRejected &&
                          (outcome.reason == ChangeReason::kBaseVersion ||
                           outcome.reason == ChangeReason::kFutureBase);
  return is_changed ? OrderResult::kChanged : OrderResult::kUnknown;
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

OrderResult AgreedEditor::SetZoneOut(const ZoneId& zone,
                                     bool is_out,
                                     uint64_t base,
                                     TimePoint deadline) {
  return this->Order(
      "zone " + zone.str() + (is_out ? " out" : " in"),
      [zone, is_out](AgreedState& state) {
        knapweedroad::SetZoneOut(state, zone, is_out);
      },
      base, deadline);
}

OrderResult AgreedEditor::OrderRollouts(
    const std::string& name,
    std::function<void(std::vector<RolloutRecord>& rollouts)> edit,
    uint64_t base,
    TimePoint deadline) {
  return this->Order(
      name,
      [edit = std::move(edit)](AgreedState& state) { edit(state.rollouts); },
      base, deadline);
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

std::optional<ControlValue> AgreedEditor::ReadValue(TimePoint deadline) {
  const ControlPeek peek = this->options.service.Peek(
      std::min(deadline, Runtime::Now() + kPeekTimeout), /*soon=*/true);
  if (!peek.chosen) {
    auto value = this->options.service.Read(deadline);
    if (!value) {
      this->ReportFailedRead(peek);
    }
    return value;
  }
  this->options.on_chosen(peek.chosen->value.version,
                          peek.chosen->value.configuration);
  return peek.chosen->value;
}

void AgreedEditor::ReportFailedRead(const ControlPeek& peek) {
  ++this->reads_failed;
  if (const auto left_out = this->read_lines.Admit(Runtime::Now())) {
    LogLine line("agreed_read_failed");
    line.Add("left_out", *left_out);
    AddQuorumReport(line, peek);
    line.Warning();
  }
}

std::optional<uint64_t> AgreedEditor::ReadVersion(TimePoint deadline) {
  const auto value = this->ReadValue(deadline);
  return value ? std::optional(value->version) : std::nullopt;
}

std::optional<AgreedState> AgreedEditor::Read(TimePoint deadline) {
  const auto value = this->ReadValue(deadline);
  if (!value) {
    return std::nullopt;
  }
  auto state = DecodeAgreedState(value->configuration);
  if (!state) {
    LogLine("agreed_state_unreadable").Add("detail", state.error()).Error();
    return std::nullopt;
  }
  return *std::move(state);
}

}  // namespace knapweedroad
