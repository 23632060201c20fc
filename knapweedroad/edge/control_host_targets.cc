// What targets tell a control host, and how it keeps that they leave.

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/edge/control_host_state.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/registry/target_record_check.h"

namespace knapweedroad {

// Looks come each 0.7 s at the most; between them this host's own runs may have
// seen newer members.
Membership ControlHost::State::NewestMembers() const {
  const std::optional<BallotedValue>& looked =
      this->membership->last_look().newest;
  const std::optional<BallotedValue>& known = this->service->known();
  const bool is_look_newer =
      looked && (!known || known->ballot < looked->ballot);
  const std::optional<BallotedValue>& newest = is_look_newer ? looked : known;
  return newest ? newest->value.members : Membership();
}

bool ControlHost::State::HoldDeparture(const TargetId& id, TimePoint deadline) {
  const TargetRecord* const unheld = this->registry.FindUnheldDeparture(id);
  if (unheld == nullptr) {
    return true;
  }
  const TargetRecord departure = *unheld;
  const bool is_held = this->departures->Replicate(departure, deadline);
  if (is_held) {
    this->registry.MarkDepartureHeld(departure);
  } else {
    ++this->departures_not_held;
    LogLine("departure_not_held").Add("target", id).Warning();
  }
  return is_held;
}

tl::expected<DepartureReply, std::string> ControlHost::State::TakeDepartures(
    const DepartureCall& call) {
  const uint64_t before = this->registry.revision();
  const TimePoint now = Runtime::Now();
  std::vector<TargetRecord> departures;
  for (const TargetRecord& departure : call.departures) {
    if (departure.phase != TargetPhase::kLeaving &&
        departure.phase != TargetPhase::kGone) {
      return tl::unexpected("target " + departure.id.str() +
                            " is neither leaving nor gone");
    }
    if (std::string fault = WhyUnusable(departure); !fault.empty()) {
      return tl::unexpected(std::move(fault));
    }
    const TargetRecord* const known = this->registry.Find(departure.id);
    const bool ends_any_incarnation = departure.phase == TargetPhase::kGone &&
                                      departure.service.empty() &&
                                      departure.started_ms == 0;
    if (known != nullptr && ends_any_incarnation) {
      // The host that was called doesn't know which incarnation signed off.
      this->registry.Deregister(departure.id, 0, departure.sequence, now);
      departures.push_back(*known);
    } else {
      this->registry.Merge(departure, now);
      departures.push_back(departure);
    }
  }
  if (this->registry.revision() != before) {
    this->hub->Wake();
  }
  if (!this->departure_store->Save(departures)) {
    return tl::unexpected(std::string("the disk refused the departures"));
  }
  return DepartureReply{.holder = this->replica->id()};
}

AnnounceResult ControlHost::Announce(TargetRecord record, TimePoint deadline) {
  State& self = *this->state;
  ++self.announcements;
  const uint64_t before = self.registry.revision();
  const TargetId id = record.id;
  const TargetPhase phase = record.phase;
  const AnnounceResult result =
      self.registry.Announce(std::move(record), Runtime::Now());
  if (self.registry.revision() != before) {
    LogLine("target_announced")
        .Add("target", id)
        .Add("phase", static_cast<int>(phase))
        .Add("result", static_cast<int>(result))
        .Info();
    self.hub->Wake();
  }
  const bool is_held =
      result == AnnounceResult::kFull || self.HoldDeparture(id, deadline);
  return is_held ? result : AnnounceResult::kNotHeld;
}

AnnounceResult ControlHost::SignOff(const TargetId& id,
                                    uint64_t started_ms,
                                    uint64_t sequence,
                                    TimePoint deadline) {
  State& self = *this->state;
  const AnnounceResult result =
      self.registry.Deregister(id, started_ms, sequence, Runtime::Now());
  LogLine("target_signed_off")
      .Add("target", id)
      .Add("result", static_cast<int>(result))
      .Info();
  self.hub->Wake();
  const bool is_held =
      result == AnnounceResult::kFull || self.HoldDeparture(id, deadline);
  return is_held ? result : AnnounceResult::kNotHeld;
}

}  // namespace knapweedroad
