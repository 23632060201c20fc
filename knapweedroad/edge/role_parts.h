// What entry and control hosts have in common: seeds, metrics, a tick.

#ifndef KNAPWEEDROAD_EDGE_ROLE_PARTS_H_
#define KNAPWEEDROAD_EDGE_ROLE_PARTS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/control/change_request.h"

namespace knapweedroad {

class HttpServer;
class Runtime;
struct RoleSettings;

// The control hosts that the settings name, by the ids that hosts know them by.
std::vector<HostId> SeedIds(const RoleSettings& settings);

// The time of day, in Unix milliseconds.
int64_t UnixMs();

// For a change that no operator has named.
RequestId RandomRequestId();

void LogReload(const RoleSettings& settings);

// Serves what `print` gives on the settings' metrics port; null where they
// name none. The error says why it can't listen.
tl::expected<std::unique_ptr<HttpServer>, std::string> StartMetricsServer(
    Runtime& runtime,
    const RoleSettings& settings,
    std::function<std::string()> print);

// Calls `step` now and after each interval, in a fiber, until it returns false.
void RepeatEvery(Runtime& runtime,
                 Duration interval,
                 std::function<bool()> step);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ROLE_PARTS_H_
