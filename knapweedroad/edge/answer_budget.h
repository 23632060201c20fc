// The memory that unfinished answers of all targets may take together.
//
// A target in trouble may send bytes without end on each of its connections. An
// answer's own limit is far above the usual size, so that a few dozen of them
// at once would take all memory of a host.
//
//   AnswerBudget budget(32 << 20);
//   budget.Grow(bytes);
//   if (!budget.MayHold(size)) Break();
//   budget.Release(size);

#ifndef KNAPWEEDROAD_EDGE_ANSWER_BUDGET_H_
#define KNAPWEEDROAD_EDGE_ANSWER_BUDGET_H_

#include <cstddef>

namespace knapweedroad {

class AnswerBudget {
 public:
  // An answer up to this size, in bytes, is read whatever the others take.
  static constexpr size_t kAlwaysHeld = 256 << 10;

  explicit AnswerBudget(size_t limit) : limit(limit) {}

  void Grow(size_t bytes) { this->used += bytes; }
  void Release(size_t bytes) { this->used -= bytes; }

  // Whether an answer of this size may be read on.
  bool MayHold(size_t size) const {
    return size <= kAlwaysHeld || this->used <= this->limit;
  }

  size_t used_bytes() const { return this->used; }

 private:
  size_t limit = 0;
  size_t used = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ANSWER_BUDGET_H_
