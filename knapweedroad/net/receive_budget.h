// The memory that unfinished messages of all connections may take together.
//
// A peer in trouble may send bytes without end on each of its connections. A
// message's own limit is far above the usual size, so that a few dozen of them
// at once would take all memory of a host.
//
//   ReceiveBudget budget(32 << 20);
//   budget.Grow(bytes);
//   if (!budget.MayHold(size)) Break();
//   budget.Release(size);

#ifndef KNAPWEEDROAD_NET_RECEIVE_BUDGET_H_
#define KNAPWEEDROAD_NET_RECEIVE_BUDGET_H_

#include <cstddef>

namespace knapweedroad {

class ReceiveBudget {
 public:
  static constexpr size_t kAlwaysHeld = 256 << 10;

  // A message up to `always_held` bytes is read whatever the others take.
  explicit ReceiveBudget(size_t limit, size_t always_held = kAlwaysHeld)
      : limit(limit), always_held(always_held) {}

  void Grow(size_t bytes) { this->used += bytes; }
  void Release(size_t bytes) { this->used -= bytes; }

  // Whether a message of this size may be read on.
  bool MayHold(size_t size) const {
    return size <= this->always_held || this->used <= this->limit;
  }

  size_t used_bytes() const { return this->used; }

 private:
  size_t limit = 0;
  size_t always_held = 0;
  size_t used = 0;
};

// What one message takes of a budget, which outlives it.
class BudgetShare {
 public:
  explicit BudgetShare(ReceiveBudget& budget) : budget(budget) {}
  ~BudgetShare() { this->Set(0); }
  BudgetShare(const BudgetShare&) = delete;
  BudgetShare& operator=(const BudgetShare&) = delete;

  // The message takes so many bytes now. Whether it may go on.
  bool Set(size_t bytes) {
    this->budget.Grow(bytes);
    this->budget.Release(this->held);
    this->held = bytes;
    return this->budget.MayHold(bytes);
  }

  size_t held_bytes() const { return this->held; }

 private:
  ReceiveBudget& budget;
  size_t held = 0;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_RECEIVE_BUDGET_H_
