#include "claims_memory.hpp"

#include <fcntl.h>
#include <sys/mman.h>

#include "system_io.hpp"

namespace violetusher::net {
namespace {

using Slot = core::RequestClaims::Slot;

constexpr std::size_t kBytes = core::RequestClaims::kSlots * sizeof(Slot);

/// Null if the file can't be had.
void* map_file(const std::string& path) {
  Fd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600));
  // Allocates the blocks now: on a full disk a later write to the mapping would raise SIGBUS.
  if (!fd || ::posix_fallocate(fd.get(), 0, static_cast<off_t>(kBytes)) != 0) return nullptr;
  void* at = ::mmap(nullptr, kBytes, PROT_READ | PROT_WRITE, MAP_SHARED, fd.get(), 0);
  return at == MAP_FAILED ? nullptr : at;
}

}  // namespace

ClaimsMemory::ClaimsMemory(const std::string& path) {
  if (!path.empty()) mapped_ = map_file(path);
  if (mapped_) {
    slots_ = static_cast<Slot*>(mapped_);
    return;
  }
  own_ = std::make_unique<Slot[]>(core::RequestClaims::kSlots);
  slots_ = own_.get();
}

ClaimsMemory::~ClaimsMemory() {
  if (mapped_) ::munmap(mapped_, kBytes);
}

}  // namespace violetusher::net
