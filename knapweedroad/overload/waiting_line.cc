#include "knapweedroad/overload/waiting_line.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace knapweedroad {

WaitingLine::WaitingLine(WaitingLineOptions options) : options(options) {}

void WaitingLine::RemoveEnded(TimePoint now) {
  std::erase_if(this->waiters, [&](const Waiter& waiter) {
    return now - waiter.last_seen > this->options.waiter_timeout;
  });
  if (this->waiters.empty()) {
    this->places.clear();
    this->places_of_priority.clear();
    this->place_count = 0;
  }
}

size_t WaitingLine::PlacesOf(const AccountId& account) const {
  const auto found = this->places.find(account);
  return found == this->places.end() ? 0 : found->second;
}

bool WaitingLine::IsBefore(const Waiter& first, const Waiter& second) const {
  const size_t places_of_first = this->PlacesOf(first.request.account);
  const size_t places_of_second = this->PlacesOf(second.request.account);
  return std::tie(first.request.priority, places_of_first, first.since,
                  first.request.id) < std::tie(second.request.priority,
                                               places_of_second, second.since,
                                               second.request.id);
}

WaitingLine::Waiter WaitingLine::WaiterFor(const WaitingRequest& request,
                                           TimePoint now) const {
  const auto found =
      std::ranges::find(this->waiters, request.id,
                        [](const Waiter& waiter) { return waiter.request.id; });
  return found == this->waiters.end()
             ? Waiter{.request = request, .since = now, .last_seen = now}
             : *found;
}

uint32_t WaitingLine::LeastServedPriority() const {
  const auto key = [this](const Waiter& waiter) {
    const uint32_t priority = waiter.request.priority;
    const auto found = this->places_of_priority.find(priority);
    const size_t count =
        found == this->places_of_priority.end() ? 0 : found->second;
    return std::pair(count, ~priority);
  };
  return std::ranges::min_element(this->waiters, {}, key)->request.priority;
}

bool WaitingLine::IsNext(const WaitingRequest& request, TimePoint now) {
  this->RemoveEnded(now);
  if (this->waiters.empty()) {
    return true;
  }
  const bool is_floor_place =
      (this->place_count + 1) % this->options.places_per_floor == 0;
  if (is_floor_place && request.priority != this->LeastServedPriority()) {
    return false;
  }
  const Waiter own = this->WaiterFor(request, now);
  return std::ranges::none_of(this->waiters, [&](const Waiter& other) {
    const bool competes =
        !is_floor_place || other.request.priority == request.priority;
    return competes && other.request.id != request.id &&
           this->IsBefore(other, own);
  });
}

void WaitingLine::Wait(const WaitingRequest& request, TimePoint now) {
  const auto found =
      std::ranges::find(this->waiters, request.id,
                        [](const Waiter& waiter) { return waiter.request.id; });
  if (found == this->waiters.end()) {
    this->waiters.push_back(
        {.request = request, .since = now, .last_seen = now});
  } else {
    found->last_seen = now;
  }
}

void WaitingLine::OnStarted(const WaitingRequest& request, TimePoint now) {
  this->recent_places.Add(now);
  if (this->waiters.empty()) {
    return;
  }
  ++this->places[request.account];
  ++this->places_of_priority[request.priority];
  ++this->place_count;
  this->Leave(request.id);
}

void WaitingLine::Leave(uint64_t request_id) {
  std::erase_if(this->waiters, [&](const Waiter& waiter) {
    return waiter.request.id == request_id;
  });
}

bool WaitingLine::IsHopeless(const WaitingRequest& request, TimePoint now) {
  this->RemoveEnded(now);
  const size_t rate_count =
      this->recent_places.CountSince(now - this->options.rate_window);
  if (rate_count == 0) {
    return false;
  }
  const Waiter own = this->WaiterFor(request, now);
  size_t before = 0;
  size_t before_of_priority = 0;
  for (const Waiter& other : this->waiters) {
    if (other.request.id == request.id || !this->IsBefore(other, own)) {
      continue;
    }
    ++before;
    before_of_priority += other.request.priority == request.priority ? 1 : 0;
  }
  const size_t places_until_floor =
      before_of_priority * this->options.places_per_floor;
  const auto places =
      static_cast<int64_t>(std::min(before, places_until_floor));
  const Duration window = rate_count < RecentRequests::kMaxCount
                              ? this->options.rate_window
                              : Duration(now - this->recent_places.earliest());
  const Duration wait = window * places / static_cast<int64_t>(rate_count);
  return now + wait >= request.deadline;
}

bool WaitingLine::HasWaiterOf(uint32_t max_priority, TimePoint now) {
  this->RemoveEnded(now);
  return std::ranges::any_of(this->waiters, [&](const Waiter& waiter) {
    return waiter.request.priority <= max_priority;
  });
}

}  // namespace knapweedroad
