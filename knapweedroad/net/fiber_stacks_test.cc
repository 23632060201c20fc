#include "knapweedroad/net/fiber_stacks.h"

#include <signal.h>

#include <cstring>
#include <vector>

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

char* LowestOf(const boost::context::stack_context& stack) {
  return static_cast<char*>(stack.sp) - stack.size;
}

Test(fiber_stacks, a_stack_can_be_used_to_its_end) {
  FiberStacks stacks;
  auto stack = stacks.allocate();
  std::memset(LowestOf(stack), 1, stack.size);
  stacks.deallocate(stack);
}

Test(fiber_stacks, the_stack_given_back_last_is_used_first) {
  FiberStacks stacks;
  auto first = stacks.allocate();
  auto second = stacks.allocate();
  cr_expect(first.sp != second.sp);
  const void* const last = first.sp;
  stacks.deallocate(second);
  stacks.deallocate(first);
  FiberStacks copy = stacks;
  cr_expect(copy.allocate().sp == last);
}

Test(fiber_stacks, more_than_are_kept_can_be_given_back) {
  FiberStacks stacks;
  std::vector<boost::context::stack_context> all;
  for (size_t i = 0; i < 3 * FiberStacks::kMostKept; ++i) {
    all.push_back(stacks.allocate());
  }
  for (auto& stack : all) {
    stacks.deallocate(stack);
  }
  std::memset(LowestOf(stacks.allocate()), 1, FiberStacks::kBytes);
}

// Guards against an overflow that writes into what lies below the stack.
Test(fiber_stacks, an_overflow_ends_the_process, .signal = SIGSEGV) {
  FiberStacks stacks;
  volatile char* const below = LowestOf(stacks.allocate()) - 1;
  *below = 1;
}

}  // namespace
}  // namespace knapweedroad
