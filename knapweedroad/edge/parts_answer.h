// The one answer of a scatter that its caller gets.

#ifndef KNAPWEEDROAD_EDGE_PARTS_ANSWER_H_
#define KNAPWEEDROAD_EDGE_PARTS_ANSWER_H_

#include <cstddef>

namespace knapweedroad {

struct CallerAnswer;
struct HeaderNames;
struct RunEnd;

// The greatest `top_records` records of all parts of `end`, which is of the
// kind kParts, with each part's seal and how many shards are missing.
CallerAnswer MakePartsAnswer(const HeaderNames& header_names,
                             const RunEnd& end,
                             size_t top_records);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_PARTS_ANSWER_H_
