// One attempt's HTTP exchange with a target: the request to write, and what an
// answer or a failure proves.

#ifndef KNAPWEEDROAD_HOST_TARGET_EXCHANGE_H_
#define KNAPWEEDROAD_HOST_TARGET_EXCHANGE_H_

#include "knapweedroad/admission/attempt_result.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/net/http_message.h"
#include "knapweedroad/net/net_error.h"
#include "knapweedroad/wire/attempt_call.h"
#include "knapweedroad/wire/attempt_reply.h"

namespace knapweedroad {

HttpRequest TargetRequest(const AttemptCall& call, Duration remaining);

HttpRequest CancelRequest(const AttemptId& attempt);

// What both the coordinator and admission learn of one exchange.
struct ExchangeEnd {
  AttemptReply reply;
  AttemptResult result;
};

// An answer that doesn't echo the attempt's id belongs to another request: it
// is never passed on.
ExchangeEnd ReadTargetAnswer(const AttemptCall& call,
                             HttpResponse response,
                             Duration latency);

ExchangeEnd ReadTargetFailure(const NetError& error);

// Whether a second try on a new connection is due before the target is blamed:
// a used connection, which something on the way may have forgotten, took
// nothing. What was written may run, and a repetition would then make two of
// one slot.
bool MayRepeat(const NetError& error);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_TARGET_EXCHANGE_H_
