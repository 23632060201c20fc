#include "knapweedroad/admission/lease_grantor.h"

#include <algorithm>
#include <chrono>

namespace knapweedroad {
namespace {

// No message is delayed for longer and then delivered.
constexpr Duration kAskerMemory = std::chrono::minutes(2);

}  // namespace

LeaseGrantor::LeaseGrantor(const Options& options)
    : options(options),
      grants_from(options.started +
                  options.timing.Stretched(options.timing.length)),
      forgotten_busy_until(
          this->grants_from +
          options.timing.Stretched(options.timing.max_work_time)) {}

std::optional<LeaseReply> LeaseGrantor::OnRequest(const LeaseRequest& request,
                                                  TimePoint now) {
  this->ForgetOld(now);
  if (this->IsOvertaken(request, now)) {
    return std::nullopt;
  }
  LeaseReply reply{.grantor = this->options.self,
                   .incarnation = request.incarnation,
                   .sequence = request.sequence,
                   .grants = {}};
  for (const LeaseAsk& ask : request.asks) {
    if (ask.release) {
      this->Release(request, ask, now);
    } else {
      reply.grants.push_back(this->Decide(request, ask, now));
    }
  }
  return reply;
}

// A release that was delayed until its sender holds the lease again would free
// what is in use; an ask delayed past a release only blocks others for a while.
// Both are passed over.
bool LeaseGrantor::IsOvertaken(const LeaseRequest& request, TimePoint now) {
  Asker& asker = this->askers[request.holder];
  const auto order = std::pair(request.incarnation, request.sequence);
  if (order <= asker.latest) {
    return true;
  }
  asker.latest = order;
  asker.heard = now;
  return false;
}

LeaseGrantor::Grant& LeaseGrantor::GrantOf(const LeaseAsk& ask) {
  const Grant unknown{.busy_until = this->forgotten_busy_until};
  return this->grants.try_emplace(Resource(ask.target, ask.part), unknown)
      .first->second;
}

// What earlier holders left running stays on record: the one that gives back
// speaks for its own work only.
void LeaseGrantor::Release(const LeaseRequest& request,
                           const LeaseAsk& ask,
                           TimePoint now) {
  Grant& grant = this->GrantOf(ask);
  const bool own = grant.holder == request.holder &&
                   grant.incarnation == request.incarnation;
  if (!own) {
    return;
  }
  grant.holder = HostId();
  grant.wanted = false;
  const Duration left = this->options.timing.Stretched(ask.work_time);
  grant.busy_until = std::max(grant.busy_until, now + left);
}

LeaseGrant LeaseGrantor::Decide(const LeaseRequest& request,
                                const LeaseAsk& ask,
                                TimePoint now) {
  LeaseGrant answer{.target = ask.target, .part = ask.part};
  if (now < this->grants_from) {
    return answer;
  }
  Grant& grant = this->GrantOf(ask);
  if (!this->Assign(grant, request, now)) {
    grant.wanted = true;
    return answer;
  }
  grant.expiry = now + this->options.timing.length;
  const Duration work_time = this->options.timing.Stretched(ask.work_time);
  grant.work_time = std::max(grant.work_time, work_time);
  answer.granted = true;
  answer.wait = std::max<Duration>(grant.busy_until - now, Duration::zero());
  answer.wanted = grant.wanted;
  return answer;
}

// Whether the grant is, or becomes, the asker's.
bool LeaseGrantor::Assign(Grant& grant,
                          const LeaseRequest& request,
                          TimePoint now) {
  const bool same_host = grant.holder == request.holder;
  if (same_host && grant.incarnation == request.incarnation) {
    return true;
  }
  if (!grant.holder.empty() && !this->TakeOver(grant, same_host, now)) {
    return false;
  }
  grant.holder = request.holder;
  grant.incarnation = request.incarnation;
  grant.work_time = Duration::zero();
  grant.wanted = false;
  return true;
}

// Where a holder lost a grant without giving it back, its work is counted on
// for its longest time.
bool LeaseGrantor::TakeOver(Grant& grant, bool same_host, TimePoint now) {
  // The host's former life sent nothing after its end, which is past by now.
  const TimePoint end = same_host ? std::min(now, grant.expiry) : grant.expiry;
  if (now < end) {
    return false;
  }
  grant.busy_until = std::max(grant.busy_until, end + grant.work_time);
  return true;
}

// A grant without a trace in the present is forgotten, as one never given.
void LeaseGrantor::ForgetOld(TimePoint now) {
  std::erase_if(this->askers, [&](const auto& entry) {
    return now - entry.second.heard > kAskerMemory;
  });
  if (now < this->forgotten_busy_until) {
    return;
  }
  std::erase_if(this->grants, [&](const auto& entry) {
    const Grant& grant = entry.second;
    const bool ended =
        grant.holder.empty() || now >= grant.expiry + grant.work_time;
    return ended && now >= grant.busy_until;
  });
}

}  // namespace knapweedroad
