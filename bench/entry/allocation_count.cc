#include "bench/entry/allocation_count.h"

#include <cstdlib>
#include <new>

namespace {

thread_local knapweedroad::AllocationCount counted;

}  // namespace

void* operator new(std::size_t bytes) {
  ++counted.calls;
  counted.bytes += bytes;
  if (void* const memory = std::malloc(bytes)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}

namespace knapweedroad {

AllocationCount CountAllocations() {
  return counted;
}

}  // namespace knapweedroad
