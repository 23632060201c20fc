// What the operators' commands share: flags, headers, and reading of outcomes.

#ifndef KNAPWEEDROAD_CLI_OPERATOR_CALL_H_
#define KNAPWEEDROAD_CLI_OPERATOR_CALL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "knapweedroad/base/time.h"
#include "knapweedroad/net/http_message.h"

namespace knapweedroad {

// How long a change may take before its outcome is unknown.
inline constexpr Duration kChangeTimeout = std::chrono::seconds(15);

// The request id to use: the one given, else a new one, which is printed so
// that the change can be resent.
std::string ChangeId(const std::string& given);

HttpHeaders OperatorHeaders(const std::string& operator_id,
                            const std::string& request_id,
                            std::optional<uint64_t> base_version);

// Sends a change and prints its outcome; the command's exit code. While the
// outcome is unknown it is sent again to the next address: its request id makes
// it run once.
int SendChange(const std::string& addresses, const HttpRequest& request);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CLI_OPERATOR_CALL_H_
