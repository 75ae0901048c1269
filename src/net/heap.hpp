// The process's heap: what it holds, and how the C library gives memory back to the system.
#pragma once

#include <cstddef>

namespace violetusher::net {

/// Bytes of the heap.
struct HeapUsage {
  std::size_t used = 0;  ///< allocated now
  std::size_t free = 0;  ///< freed, but not given back to the system
};

HeapUsage heap_usage();

/// Has large buffers given back to the system as soon as they are freed. Call once, at the start.
void return_large_buffers_at_once();

}  // namespace violetusher::net
