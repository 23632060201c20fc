#include "knapweedroad/admission/lease_grantor.h"

#include <algorithm>
#include <chrono>

namespace knapweedroad {
namespace {

// How long the order of a host's latest request is kept. No message is delayed
// for longer than this and then delivered.
constexpr Duration kRequesterRetention = std::chrono::minutes(2);

}  // namespace

LeaseGrantor::LeaseGrantor(const Options& options)
    : options(options),
      grants_from(options.started +
                  options.timing.LocalUpperBound(options.timing.length)),
      unrecorded_work_until(
          this->grants_from +
          options.timing.LocalUpperBound(options.timing.max_work_time)) {}

std::optional<LeaseReply> LeaseGrantor::OnRequest(const LeaseRequest& request,
                                                  TimePoint now) {
  this->RemoveExpired(now);
  if (this->IsOutOfOrder(request, now)) {
    return std::nullopt;
  }
  LeaseReply reply{.grantor = this->options.self,
                   .incarnation = request.incarnation,
                   .sequence = request.sequence,
                   .grants = {}};
  for (const LeaseOperation& operation : request.operations) {
    if (operation.release) {
      this->Release(request, operation, now);
    } else {
      reply.grants.push_back(this->Acquire(request, operation, now));
    }
  }
  return reply;
}

// Returns whether this request or a later one of the same host was received
// before; records the order of `request` otherwise. A delayed release would
// free a grant that its sender has requested again and uses. A request delayed
// past a release would only keep the grant from other hosts until it expires.
bool LeaseGrantor::IsOutOfOrder(const LeaseRequest& request, TimePoint now) {
  Requester& requester = this->requesters[request.holder];
  const auto order = std::pair(request.incarnation, request.sequence);
  if (order <= requester.latest_order) {
    return true;
  }
  requester.latest_order = order;
  requester.received_at = now;
  return false;
}

LeaseGrantor::Grant& LeaseGrantor::FindOrAddGrant(
    const LeaseOperation& operation) {
  const Grant initial{.former_work_until = this->unrecorded_work_until};
  return this->grants
      .try_emplace(Resource(operation.target, operation.part), initial)
      .first->second;
}

// Attempts of earlier holders stay recorded: a release covers only the attempts
// of the host that sends it.
void LeaseGrantor::Release(const LeaseRequest& request,
                           const LeaseOperation& operation,
                           TimePoint now) {
  Grant& grant = this->FindOrAddGrant(operation);
  const bool is_holder = grant.holder == request.holder &&
                         grant.incarnation == request.incarnation;
  if (!is_holder) {
    return;
  }
  grant.holder = HostId();
  grant.wanted = false;
  const Duration remaining_work =
      this->options.timing.LocalUpperBound(operation.work_time);
  grant.former_work_until =
      std::max(grant.former_work_until, now + remaining_work);
}

LeaseGrant LeaseGrantor::Acquire(const LeaseRequest& request,
                                 const LeaseOperation& operation,
                                 TimePoint now) {
  LeaseGrant result{.target = operation.target, .part = operation.part};
  if (now < this->grants_from) {
    return result;
  }
  Grant& grant = this->FindOrAddGrant(operation);
  if (!this->TryAssign(grant, request, now)) {
    grant.wanted = true;
    return result;
  }
  grant.expiry = now + this->options.timing.length;
  const Duration work_time =
      this->options.timing.LocalUpperBound(operation.work_time);
  grant.work_time = std::max(grant.work_time, work_time);
  result.granted = true;
  result.start_delay =
      std::max<Duration>(grant.former_work_until - now, Duration::zero());
  result.wanted = grant.wanted;
  return result;
}

// Returns whether the requester has the grant, or gets it because no other host
// has it.
bool LeaseGrantor::TryAssign(Grant& grant,
                             const LeaseRequest& request,
                             TimePoint now) {
  const bool same_host = grant.holder == request.holder;
  if (same_host && grant.incarnation == request.incarnation) {
    return true;
  }
  if (!grant.holder.empty() && !this->TryEndGrant(grant, same_host, now)) {
    return false;
  }
  grant.holder = request.holder;
  grant.incarnation = request.incarnation;
  grant.work_time = Duration::zero();
  grant.wanted = false;
  return true;
}

// Ends a grant that its holder didn't release, if that is possible by now, and
// returns whether it ended. Attempts of that holder are then assumed to run for
// their longest time.
bool LeaseGrantor::TryEndGrant(Grant& grant, bool same_host, TimePoint now) {
  // The former incarnation of the same host has ended by now and sent nothing
  // after that.
  const TimePoint end = same_host ? std::min(now, grant.expiry) : grant.expiry;
  if (now < end) {
    return false;
  }
  grant.former_work_until =
      std::max(grant.former_work_until, end + grant.work_time);
  return true;
}

// Removes grants that have ended and under which no attempt can be running:
// they have no effect on any later request.
void LeaseGrantor::RemoveExpired(TimePoint now) {
  std::erase_if(this->requesters, [&](const auto& entry) {
    return now - entry.second.received_at > kRequesterRetention;
  });
  if (now < this->unrecorded_work_until) {
    return;
  }
  std::erase_if(this->grants, [&](const auto& entry) {
    const Grant& grant = entry.second;
    const bool ended =
        grant.holder.empty() || now >= grant.expiry + grant.work_time;
    return ended && now >= grant.former_work_until;
  });
}

}  // namespace knapweedroad
