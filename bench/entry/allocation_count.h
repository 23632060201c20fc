// Counts what the calling thread allocates, in a program that links this.

#ifndef BENCH_ENTRY_ALLOCATION_COUNT_H_
#define BENCH_ENTRY_ALLOCATION_COUNT_H_

#include <cstddef>

namespace knapweedroad {

struct AllocationCount {
  size_t calls = 0;
  size_t bytes = 0;
};

// Since the thread began.
AllocationCount CountAllocations();

}  // namespace knapweedroad

#endif  // BENCH_ENTRY_ALLOCATION_COUNT_H_
