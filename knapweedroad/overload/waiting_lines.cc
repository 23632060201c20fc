#include "knapweedroad/overload/waiting_lines.h"

namespace knapweedroad {

void WaitingLines::SetEnabled(bool enabled) {
  this->is_enabled = enabled;
  if (!enabled) {
    this->lines.clear();
  }
}

WaitingLine* WaitingLines::Find(const ServiceId& service) {
  const auto found = this->lines.find(service);
  return found == this->lines.end() ? nullptr : &found->second;
}

bool WaitingLines::IsNext(const ServiceId& service,
                          const WaitingRequest& request,
                          TimePoint now) {
  WaitingLine* const line = this->Find(service);
  return line == nullptr || line->IsNext(request, now);
}

void WaitingLines::Wait(const ServiceId& service,
                        const WaitingRequest& request,
                        TimePoint now) {
  if (this->is_enabled) {
    this->lines.try_emplace(service, WaitingLineOptions())
        .first->second.Wait(request, now);
  }
}

void WaitingLines::OnStarted(const ServiceId& service,
                             const WaitingRequest& request,
                             TimePoint now) {
  if (WaitingLine* const line = this->Find(service)) {
    line->OnStarted(request, now);
  }
}

bool WaitingLines::IsHopeless(const ServiceId& service,
                              const WaitingRequest& request,
                              TimePoint now) {
  WaitingLine* const line = this->Find(service);
  const bool is_hopeless = line != nullptr && line->IsHopeless(request, now);
  this->refused += is_hopeless ? 1 : 0;
  return is_hopeless;
}

bool WaitingLines::HasWaiterOf(const ServiceId& service,
                               uint32_t max_priority,
                               TimePoint now) {
  WaitingLine* const line = this->Find(service);
  return line != nullptr && line->HasWaiterOf(max_priority, now);
}

void WaitingLines::Leave(uint64_t request_id) {
  for (auto& [service, line] : this->lines) {
    line.Leave(request_id);
  }
}

size_t WaitingLines::waiting_count() const {
  size_t count = 0;
  for (const auto& [service, line] : this->lines) {
    count += line.size();
  }
  return count;
}

}  // namespace knapweedroad
