// The waiting lines of all services of one host.
//
//   WaitingLines lines;
//   lines.SetEnabled(true);
//   if (lines.IsNext(service, request, now)) ...

#ifndef KNAPWEEDROAD_OVERLOAD_WAITING_LINES_H_
#define KNAPWEEDROAD_OVERLOAD_WAITING_LINES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/overload/waiting_line.h"

namespace knapweedroad {

// Keeps a line for each service that requests wait for. While disabled, nobody
// waits for others. For the functions see WaitingLine.
class WaitingLines {
 public:
  // Enabled where the configuration has priorities or client accounts.
  void SetEnabled(bool enabled);

  bool IsNext(const ServiceId& service,
              const WaitingRequest& request,
              TimePoint now);
  void Wait(const ServiceId& service,
            const WaitingRequest& request,
            TimePoint now);
  void OnStarted(const ServiceId& service,
                 const WaitingRequest& request,
                 TimePoint now);
  bool IsHopeless(const ServiceId& service,
                  const WaitingRequest& request,
                  TimePoint now);
  bool HasWaiterOf(const ServiceId& service,
                   uint32_t max_priority,
                   TimePoint now);

  // Records that the request has ended, whatever it waited for.
  void Leave(uint64_t request_id);

  // Returns the number of requests that wait, once for each service.
  size_t waiting_count() const;
  // Returns the number of attempts that were refused as hopeless.
  uint64_t refused_count() const { return this->refused; }

 private:
  // Returns null if nobody has waited for the service.
  WaitingLine* Find(const ServiceId& service);

  bool is_enabled = false;
  std::unordered_map<ServiceId, WaitingLine> lines;
  uint64_t refused = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_OVERLOAD_WAITING_LINES_H_
