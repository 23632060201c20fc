// What the caller is answered at the end of its request's run.
//
//   exchange->Answer(MakeRunAnswer(end, {.header_names = header_names, ...}));

#ifndef KNAPWEEDROAD_EDGE_RUN_ANSWER_H_
#define KNAPWEEDROAD_EDGE_RUN_ANSWER_H_

#include <cstddef>

namespace knapweedroad {

struct CallerAnswer;
struct HeaderNames;
struct RunEnd;

struct RunAnswerOptions {
  const HeaderNames& header_names;
  // The number of records in an answer that is merged from parts.
  size_t top_records = 0;
  // Whether a caller that isn't served should reach another host when it comes
  // back.
  bool is_diverting = false;
};

// Moves the parts of the answer out of `end`.
CallerAnswer MakeRunAnswer(RunEnd& end, const RunAnswerOptions& options);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_RUN_ANSWER_H_
