// One call of a caller and what came back: the unit of a history.

#ifndef KNAPWEEDROAD_TESTING_CALL_RECORD_H_
#define KNAPWEEDROAD_TESTING_CALL_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"
#include "knapweedroad/net/http_message.h"

namespace knapweedroad {

enum class CallKind : uint8_t { kQuery, kRecord, kLookup };

struct CallRecord {
  CallKind kind = CallKind::kQuery;
  FrontId front;
  TenantId tenant;
  std::string request_class;
  std::string request_id;
  // Of lookups; a resend has the same one.
  std::string idempotency_key;
  // Of lookups: its key was never sent before.
  bool is_first_send = true;
  // The query's text or the record's id.
  std::string subject;
  // Of queries: the most hits asked for.
  uint32_t limit = 0;
  Duration deadline{};
  // 0: no answer came, `failure` says why.
  int status = 0;
  HttpHeaders headers;
  std::string body;
  std::string failure;
  // From the moment it was due to be sent to its end.
  Duration latency{};
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_CALL_RECORD_H_
