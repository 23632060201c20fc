// How the attempts of one request ended, for the log if the request ends badly.
//
//   AttemptLog log;
//   log.Add({.target = id, .end = "broken", .took = 2ms});
//   LogLine("request_ended").Add("attempt_log", log.text());

#ifndef KNAPWEEDROAD_EDGE_ATTEMPT_LOG_H_
#define KNAPWEEDROAD_EDGE_ATTEMPT_LOG_H_

#include <string>
#include <string_view>

#include "knapweedroad/base/id.h"
#include "knapweedroad/base/time.h"

namespace knapweedroad {

struct AttemptNote {
  const TargetId& target;
  // A plain word.
  std::string_view end;
  // What the target answered; zero: it didn't.
  int status = 0;
  Duration took{};
};

class AttemptLog {
 public:
  // Left out once the text is long: a scatter has thousands of attempts.
  void Add(const AttemptNote& note);

  // "target:endSTATUS@MILLISECONDSms " for each attempt.
  const std::string& text() const { return this->lines; }

 private:
  std::string lines;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ATTEMPT_LOG_H_
