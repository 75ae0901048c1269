// The memory of core::RequestClaims: mapped from a file that the processes of one router share
// while one replaces the other, else of this process alone.
#pragma once

#include <memory>
#include <span>
#include <string>

#include "core/guard/request_claims.hpp"

namespace violetusher::net {

/// Owns the slots.
class ClaimsMemory {
 public:
  /// `path`: the shared file, which is created if it is missing. With an empty path, or one that
  /// can't be mapped, the slots are this process's own.
  explicit ClaimsMemory(const std::string& path);
  ~ClaimsMemory();
  ClaimsMemory(const ClaimsMemory&) = delete;
  ClaimsMemory& operator=(const ClaimsMemory&) = delete;

  std::span<core::RequestClaims::Slot> slots() { return {slots_, core::RequestClaims::kSlots}; }
  bool shared() const { return mapped_ != nullptr; }

 private:
  void* mapped_ = nullptr;
  std::unique_ptr<core::RequestClaims::Slot[]> own_;
  core::RequestClaims::Slot* slots_ = nullptr;
};

}  // namespace violetusher::net
