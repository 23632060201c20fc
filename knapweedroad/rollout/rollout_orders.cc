#include "knapweedroad/rollout/rollout_orders.h"

#include <algorithm>

namespace knapweedroad {
namespace {

// The number of replaced orders kept for each service to recognize resends.
constexpr size_t kMaxReplacedOrders = 8;

bool IsWithinResendWindow(int64_t ordered_ms, const RolloutRequest& request) {
  const auto window =
      std::chrono::floor<std::chrono::milliseconds>(request.resend_window)
          .count();
  return request.now_ms - ordered_ms <= window;
}

bool IsResend(const RolloutRecord& record, const RolloutRequest& request) {
  if (record.candidate == request.candidate) {
    return record.state != RolloutState::kRolledBack ||
           IsWithinResendWindow(record.ordered_ms, request);
  }
  return std::ranges::any_of(
      record.replaced, [&](const ReplacedOrder& replaced) {
        return replaced.candidate == request.candidate &&
               IsWithinResendWindow(replaced.ordered_ms, request);
      });
}

// Returns the stable version of the next rollout, which a rollback returns to:
// the candidate of a completed rollout, and the stable version of any other.
VersionId VersionInUse(const RolloutRecord& record) {
  return record.state == RolloutState::kCompleted ? record.candidate
                                                  : record.stable;
}

void StartRollout(RolloutRecord& record, const RolloutRequest& request) {
  ++record.number;
  record.candidate = request.candidate;
  record.state = record.stable == request.candidate ? RolloutState::kCompleted
                                                    : RolloutState::kRunning;
  record.ordered_ms = request.now_ms;
  record.duration_ms =
      std::chrono::floor<std::chrono::milliseconds>(request.duration).count();
  record.owner = request.owner;
}

void AppendReplaced(RolloutRecord& record) {
  record.replaced.push_back(
      {.candidate = record.candidate, .ordered_ms = record.ordered_ms});
  if (record.replaced.size() > kMaxReplacedOrders) {
    record.replaced.erase(record.replaced.begin());
  }
}

void RemoveOldestEnded(std::vector<RolloutRecord>& rollouts) {
  const auto is_ended = [](const RolloutRecord& record) {
    return record.state != RolloutState::kRunning;
  };
  if (static_cast<size_t>(std::ranges::count_if(rollouts, is_ended)) <=
      kMaxEndedRollouts) {
    return;
  }
  auto oldest = rollouts.end();
  for (auto record = rollouts.begin(); record != rollouts.end(); ++record) {
    const bool is_older =
        oldest == rollouts.end() || record->ordered_ms < oldest->ordered_ms;
    if (is_ended(*record) && is_older) {
      oldest = record;
    }
  }
  rollouts.erase(oldest);
}

}  // namespace

void ApplyOrder(std::vector<RolloutRecord>& rollouts,
                const RolloutRequest& request) {
  const auto position = std::ranges::lower_bound(rollouts, request.service, {},
                                                 &RolloutRecord::service);
  if (position == rollouts.end() || position->service != request.service) {
    RolloutRecord record{.service = request.service,
                         .stable = request.serving_version};
    StartRollout(record, request);
    rollouts.insert(position, std::move(record));
    RemoveOldestEnded(rollouts);
    return;
  }
  if (IsResend(*position, request)) {
    return;
  }
  position->stable = VersionInUse(*position);
  AppendReplaced(*position);
  StartRollout(*position, request);
}

void FinishRollout(std::vector<RolloutRecord>& rollouts,
                   const ServiceId& service,
                   uint64_t number,
                   const HostId& owner,
                   RolloutState state) {
  for (RolloutRecord& record : rollouts) {
    if (record.service == service && record.number == number &&
        record.owner == owner && record.state == RolloutState::kRunning) {
      record.state = state;
    }
  }
}

void TakeOverRollout(std::vector<RolloutRecord>& rollouts,
                     const ServiceId& service,
                     const HostId& from,
                     const HostId& to) {
  for (RolloutRecord& record : rollouts) {
    if (record.service == service && record.owner == from &&
        record.state == RolloutState::kRunning) {
      record.owner = to;
    }
  }
}

const RolloutRecord* FindRollout(std::span<const RolloutRecord> rollouts,
                                 const ServiceId& service) {
  const auto found =
      std::ranges::lower_bound(rollouts, service, {}, &RolloutRecord::service);
  return found != rollouts.end() && found->service == service ? &*found
                                                              : nullptr;
}

}  // namespace knapweedroad
