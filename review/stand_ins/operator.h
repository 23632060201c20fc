// A stand-in operator: one order at a time, sent again to the next host until
// it is acknowledged.

#ifndef REVIEW_STAND_INS_OPERATOR_H_
#define REVIEW_STAND_INS_OPERATOR_H_

#include <optional>
#include <string>
#include <vector>

#include "review/stand_ins/endpoint.h"
#include "review/stand_ins/http_message.h"
#include "review/stand_ins/record.h"

namespace review {

class Operator {
 public:
  Operator(std::vector<Endpoint> control, Record& record);

  // Sends the order first to the host with that number. The time of its
  // acknowledgement; nothing if it isn't acknowledged within `resend_for`.
  std::optional<TimePoint> Order(const HttpMessage& order,
                                 size_t first_host,
                                 Milliseconds resend_for);

 private:
  std::vector<Endpoint> control;
  Record& record;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_OPERATOR_H_
