#include "knapweedroad/edge/target_message.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/header_text.h"

namespace knapweedroad {

std::string MakeTargetMessage(const HeaderNames& header_names,
                              const CallerRequest& request,
                              const TargetId& target,
                              Duration left) {
  constexpr size_t kOwnLines = 256;
  std::string bytes;
  bytes.reserve(request.header.size() + request.body.size() + kOwnLines);
  bytes += request.method;
  bytes += ' ';
  bytes += request.path;
  bytes += " HTTP/1.1\r\n";
  AppendLine(bytes, "Host", request.host);
  bytes += request.header;
  if (!request.id.empty()) {
    AppendLine(bytes, header_names.request_id, request.id);
  }
  const int64_t ms =
      std::chrono::floor<std::chrono::milliseconds>(left).count();
  AppendLine(bytes, header_names.time_left,
             std::to_string(std::max<int64_t>(ms, 1)));
  AppendLine(bytes, header_names.expected_target, target.str());
  const bool may_have_body =
      request.method != "GET" && request.method != "HEAD";
  if (!request.body.empty() || may_have_body) {
    AppendLine(bytes, "Content-Length", std::to_string(request.body.size()));
  }
  bytes += "\r\n";
  bytes += request.body;
  return bytes;
}

}  // namespace knapweedroad
