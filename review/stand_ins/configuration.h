// A configuration of one route to one service.

#ifndef REVIEW_STAND_INS_CONFIGURATION_H_
#define REVIEW_STAND_INS_CONFIGURATION_H_

#include <cstdint>
#include <string>

#include "review/stand_ins/http_message.h"

namespace review {

inline constexpr const char* kCallerHost = "lookup.example";
inline constexpr const char* kPathPrefix = "/records/";
inline constexpr const char* kService = "register";

// The operator's order that puts it in force. `route_type` is safe or unsafe.
HttpMessage PutConfiguration(const std::string& route_type,
                             int timeout_ms,
                             uint64_t version = 1);

}  // namespace review

#endif  // REVIEW_STAND_INS_CONFIGURATION_H_
