// Which status codes HTTP answers may have.

#ifndef KNAPWEEDROAD_NET_ANSWER_STATUS_H_
#define KNAPWEEDROAD_NET_ANSWER_STATUS_H_

namespace knapweedroad {

// Whether the status tells a final answer (RFC 9110, 15).
inline bool IsFinalStatus(int status) {
  return status >= 200 && status <= 599;
}

// Whether the status tells an interim answer, after which another one comes.
// 101 isn't one here: no request asks for another protocol, and what follows it
// isn't HTTP.
inline bool IsInterimStatus(int status) {
  constexpr int kSwitchingProtocols = 101;
  return status >= 100 && status <= 199 && status != kSwitchingProtocols;
}

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_ANSWER_STATUS_H_
