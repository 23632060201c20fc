// The JSON of a target's report.

#ifndef KNAPWEEDROAD_HOST_REPORT_JSON_H_
#define KNAPWEEDROAD_HOST_REPORT_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/target/target_report.h"

namespace knapweedroad {

// The error names the field and what it has to be.
tl::expected<TargetReport, std::string> ReadReportJson(std::string_view text);

// "cold", "ready" or "leaving"; nothing for any other word.
std::optional<TargetState> ReadTargetState(std::string_view word);

// "IP:PORT"; nothing where it isn't one.
std::optional<Endpoint> ReadEndpoint(std::string_view text);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_REPORT_JSON_H_
