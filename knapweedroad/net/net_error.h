// Errors of sockets and of the protocols spoken on them.

#ifndef KNAPWEEDROAD_NET_NET_ERROR_H_
#define KNAPWEEDROAD_NET_NET_ERROR_H_

#include <cstdint>
#include <string>

namespace knapweedroad {

enum class NetErrorKind : uint8_t {
  kConnect,    // no connection could be opened
  kTimeout,    // no whole answer before the deadline
  kClosed,     // the connection was closed or reset
  kMalformed,  // the other end broke the protocol
  kTooLarge,   // a header or body over its limit
  kCancelled,  // given up by this end
};

struct NetError {
  NetErrorKind kind = NetErrorKind::kClosed;
  // Whether any byte of the request may have left this process. Only false
  // proves that the other end can't have run it.
  bool written = false;
  // Whether the exchange used a connection that had served before: what
  // failed may be the path of that connection and not the other end.
  bool reused_connection = false;
  std::string detail;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_NET_ERROR_H_
