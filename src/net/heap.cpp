#include "heap.hpp"

#include <malloc.h>

namespace violetusher::net {
namespace {

// A buffer of this size or more has a mapping of its own. Between smaller ones it would leave holes
// that no later buffer fits, and the process would keep what it has freed.
constexpr int kMinMappedBytes = 32 << 10;
// The top of the heap is given back once so much of it is free.
constexpr int kTrimThresholdBytes = 1 << 20;

}  // namespace

HeapUsage heap_usage() {
  struct mallinfo2 info = ::mallinfo2();
  return {info.uordblks + info.hblkhd, info.fordblks};
}

void return_large_buffers_at_once() {
  ::mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

}  // namespace violetusher::net
