// Memory for the stacks of fibers.
//
//   FiberStacks stacks;
//   boost::fibers::fiber(std::allocator_arg, stacks, task).detach();
//
// Stacks are mapped by themselves: of a stack only the pages that were ever
// used take memory, and the heap isn't broken up by large blocks of which most
// is never touched. Below each stack lies a page that can't be accessed, so
// that an overflow ends the process instead of spoiling what lies there.

#ifndef KNAPWEEDROAD_NET_FIBER_STACKS_H_
#define KNAPWEEDROAD_NET_FIBER_STACKS_H_

#include <cstddef>

#include <boost/context/stack_context.hpp>

namespace knapweedroad {

// A stack allocator as Boost.Context wants it. All copies share the stacks that
// are kept for the next fiber; one thread.
class FiberStacks {
 public:
  // Throws std::bad_alloc.
  boost::context::stack_context allocate();
  void deallocate(boost::context::stack_context& stack) noexcept;

  // Without the page below.
  static constexpr size_t kBytes = 128 << 10;
  // Stacks that ended fibers leave for new ones.
  static constexpr size_t kMostKept = 8;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_FIBER_STACKS_H_
