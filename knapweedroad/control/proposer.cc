#include "knapweedroad/control/proposer.h"

#include <algorithm>
#include <utility>

#include "knapweedroad/control/apply_change.h"

namespace knapweedroad {

Proposer::Proposer(ProposerOptions options) : options(std::move(options)) {}

ChangeRun Proposer::MakeRun(ControlTransform transform,
                            TimePoint deadline,
                            bool wait_for_joining) {
  std::vector<HostId> ask_hosts = this->ask_hosts;
  std::vector<HostId> first_hosts = this->options.first_hosts;
  if (!ask_hosts.empty()) {
    // Where members are known a membership has been formed, and the first hosts
    // are only asked: those that came back blank would form a second one.
    ask_hosts.insert(ask_hosts.end(), first_hosts.begin(), first_hosts.end());
    first_hosts.clear();
  }
  return ChangeRun({.transform = std::move(transform),
                    .next_ballot =
                        [this](uint64_t round) {
                          this->last_round =
                              std::max(this->last_round, round) + 1;
                          return Ballot{this->last_round, this->options.id};
                        },
                    .backoff = this->options.backoff,
                    .deadline = deadline,
                    .attempt_timeout = this->options.attempt_timeout,
                    .known = this->newest,
                    .wait_for_joining = wait_for_joining,
                    .ask_hosts = std::move(ask_hosts),
                    .first_hosts = std::move(first_hosts)});
}

ChangeRun Proposer::MakeChange(ChangeRequest request, TimePoint deadline) {
  return this->MakeRun(
      [request = std::move(request)](ControlValue& value,
                                     const std::set<MemberId>&) {
        return ApplyChange(value, request);
      },
      deadline, /*wait_for_joining=*/false);
}

ChangeRun Proposer::MakeRead(TimePoint deadline) {
  return this->MakeRun(nullptr, deadline, /*wait_for_joining=*/false);
}

ChangeRun Proposer::MakeMembershipStep(std::optional<MembershipRequest> request,
                                       TimePoint deadline) {
  const bool gives_up = request.has_value() && request->give_up;
  return this->MakeRun(
      [request = std::move(request), chosen_epoch = this->chosen_epoch](
          ControlValue& value, const std::set<MemberId>& holders) {
        return ApplyMembershipStep(
            value, {.request = request.has_value() ? &*request : nullptr,
                    .holders = holders,
                    .chosen_epoch = chosen_epoch});
      },
      deadline, /*wait_for_joining=*/!gives_up);
}

void Proposer::Learn(const ChangeRun& run) {
  if (run.known().has_value() && (!this->newest.has_value() ||
                                  this->newest->ballot < run.known()->ballot)) {
    this->newest = run.known();
  }
  if (run.result().has_value() && run.result()->chosen.has_value()) {
    const Membership& members = run.result()->chosen->value.members;
    this->chosen_epoch = std::max(this->chosen_epoch, members.epoch);
  }
}

void Proposer::Learn(const BallotedValue& chosen) {
  if (!this->newest.has_value() || this->newest->ballot < chosen.ballot) {
    this->newest = chosen;
  }
  this->chosen_epoch = std::max(this->chosen_epoch, chosen.value.members.epoch);
}

void Proposer::AskAlso(std::vector<HostId> hosts) {
  this->ask_hosts = std::move(hosts);
}

}  // namespace knapweedroad
