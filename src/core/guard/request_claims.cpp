#include "request_claims.hpp"

namespace violetusher::core {
namespace {

// A slot holds the seconds of the claim in its lower bits and a part of the hash above them.
constexpr int kTimeBits = 24;
constexpr std::uint64_t kTimeMask = (std::uint64_t{1} << kTimeBits) - 1;
constexpr Micros kSecond = 1'000'000;

std::uint64_t hash_of(std::string_view id) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;  // FNV-1a, mixed
  for (unsigned char c : id) hash = (hash ^ c) * 0x100000001b3ULL;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

/// Never 0, which is an empty slot.
std::uint64_t tag_of(std::uint64_t hash) { return (hash | std::uint64_t{1} << 63) & ~kTimeMask; }

std::uint64_t seconds_of(Micros now) {
  return static_cast<std::uint64_t>(now / kSecond) & kTimeMask;
}

/// Whether a slot's claim is in force. One from the future is from before a restart of the machine.
bool in_force(std::uint64_t slot, std::uint64_t now) {
  std::uint64_t age = (now - slot) & kTimeMask;
  return slot != 0 && age <= static_cast<std::uint64_t>(RequestClaims::kRetention / kSecond);
}

}  // namespace

std::span<RequestClaims::Slot> RequestClaims::bucket_of(std::uint64_t hash) const {
  return slots_.subspan(hash % (slots_.size() / kWays) * kWays, kWays);
}

bool RequestClaims::claim(Micros now, std::string_view id) {
  std::uint64_t hash = hash_of(id), tag = tag_of(hash), second = seconds_of(now);
  std::span<Slot> bucket = bucket_of(hash);
  while (true) {
    Slot* oldest = nullptr;
    std::uint64_t oldest_value = 0, oldest_age = 0;
    for (Slot& slot : bucket) {
      std::uint64_t value = slot.load();
      bool live = in_force(value, second);
      if (live && (value & ~kTimeMask) == tag) return false;
      std::uint64_t age = live ? (second - value) & kTimeMask : kTimeMask;
      if (oldest && age <= oldest_age) continue;
      oldest = &slot;
      oldest_value = value;
      oldest_age = age;
    }
    // Another process may have claimed the slot, or the id, meanwhile: all are looked at again.
    // Both choose the same slot for the same id, so only one of them succeeds.
    if (oldest->compare_exchange_strong(oldest_value, tag | second)) return true;
  }
}

void RequestClaims::release(std::string_view id) {
  std::uint64_t hash = hash_of(id), tag = tag_of(hash);
  for (Slot& slot : bucket_of(hash)) {
    std::uint64_t value = slot.load();
    if (value != 0 && (value & ~kTimeMask) == tag) slot.compare_exchange_strong(value, 0);
  }
}

}  // namespace violetusher::core
