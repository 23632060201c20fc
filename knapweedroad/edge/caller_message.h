// A caller's request as an entry host passes it on, and what it is answered.

#ifndef KNAPWEEDROAD_EDGE_CALLER_MESSAGE_H_
#define KNAPWEEDROAD_EDGE_CALLER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/routing/request_fingerprint.h"

namespace knapweedroad {

struct CallerRequest {
  std::string method;
  std::string path;
  std::string host;
  // As the caller sent it; empty: none.
  std::string id;
  // How long the caller waits; nothing: it doesn't say.
  std::optional<Duration> time_left;
  // The header lines to pass on: all but those of one connection, those that
  // the host writes itself, and `account_header`.
  std::string header;
  // The Authorization lines and those with the name of the account header,
  // also from trailers. They are passed on only if the configuration has no
  // client accounts, see SetAccount().
  std::string account_header;
  // The values of the Authorization lines. Secrets, removed by SetAccount().
  std::vector<std::string> authorization;
  // The client account that sent the request; empty if there is none. Set by
  // SetAccount().
  AccountId account;
  // Zero is the most urgent. Set by SetAccount().
  uint32_t priority = 0;
  std::string body;
  // When its last byte had come.
  TimePoint received;
};

inline RequestFingerprint FingerprintOf(const CallerRequest& request) {
  return MakeRequestFingerprint({.method = request.method,
                                 .host = request.host,
                                 .path = request.path,
                                 .body = request.body});
}

struct CallerAnswer {
  int status = 200;
  // Header lines, each ended; without length and connection.
  std::string header;
  std::string body;
  // The connection ends with it: the caller may reach another host when it
  // comes back.
  bool closes = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_CALLER_MESSAGE_H_
