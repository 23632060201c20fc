#include "knapweedroad/net/fiber_stacks.h"

#include <sys/mman.h>

#include <new>
#include <vector>

namespace knapweedroad {
namespace {

constexpr size_t kPageBytes = 4096;
constexpr size_t kMappedBytes = FiberStacks::kBytes + kPageBytes;

// Never destroyed: fibers may end after the thread's other objects.
std::vector<void*>& Kept() {
  thread_local auto* const kept = [] {
    auto* const made = new std::vector<void*>();
    made->reserve(FiberStacks::kMostKept);
    return made;
  }();
  return *kept;
}

void* MapStack() {
  void* const lowest =
      mmap(nullptr, kMappedBytes, PROT_READ | PROT_WRITE,
           MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE | MAP_STACK, -1, 0);
  if (lowest == MAP_FAILED) {
    throw std::bad_alloc();
  }
  mprotect(lowest, kPageBytes, PROT_NONE);
  return lowest;
}

}  // namespace

boost::context::stack_context FiberStacks::allocate() {
  void* lowest = nullptr;
  if (Kept().empty()) {
    lowest = MapStack();
  } else {
    lowest = Kept().back();
    Kept().pop_back();
  }
  boost::context::stack_context stack;
  stack.size = kBytes;
  stack.sp = static_cast<char*>(lowest) + kMappedBytes;
  return stack;
}

void FiberStacks::deallocate(boost::context::stack_context& stack) noexcept {
  void* const lowest = static_cast<char*>(stack.sp) - kMappedBytes;
  if (Kept().size() < kMostKept) {
    Kept().push_back(lowest);
    return;
  }
  munmap(lowest, kMappedBytes);
}

}  // namespace knapweedroad
