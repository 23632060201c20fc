#include "knapweedroad/edge/agreed_value.h"

#include <utility>

#include "knapweedroad/base/log_line.h"

namespace knapweedroad {

bool AgreedValue::Take(uint64_t chosen_version,
                       const std::string& chosen_text) {
  if (chosen_version <= this->newest_version) {
    return false;
  }
  auto state = DecodeAgreedState(chosen_text);
  if (!state) {
    LogLine("agreed_state_unreadable")
        .Add("version", chosen_version)
        .Add("detail", state.error())
        .Error();
    return false;
  }
  this->newest_version = chosen_version;
  this->newest_text = chosen_text;
  LogLine("agreed")
      .Add("version", chosen_version)
      .Add("number", state->number)
      .Add("zones_out", state->zones_out.size())
      .Add("rollouts", state->rollouts.size())
      .Info();
  this->newest = *std::move(state);
  return true;
}

}  // namespace knapweedroad
