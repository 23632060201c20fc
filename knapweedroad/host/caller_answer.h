// The HTTP answers of callers' requests.

#ifndef KNAPWEEDROAD_HOST_CALLER_ANSWER_H_
#define KNAPWEEDROAD_HOST_CALLER_ANSWER_H_

#include "knapweedroad/base/id.h"
#include "knapweedroad/host/caller_request.h"
#include "knapweedroad/net/http_message.h"
#include "knapweedroad/query/query_answer.h"
#include "knapweedroad/query/record_reply.h"

namespace knapweedroad {

HttpResponse QueryResponse(const FrontRequest& request,
                           const QueryAnswer& answer,
                           const HostId& host);

// 200 with the record, or 404 with outcome `run`.
HttpResponse RecordResponse(const FrontRequest& request,
                            const RecordReply& reply,
                            const HostId& host);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_CALLER_ANSWER_H_
