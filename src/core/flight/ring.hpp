// The ring of the flight recorder in memory that somebody else owns, a mapped file for one that
// shall survive the process. No allocation, no call of the system.
//
// One block of kBlockBytes bytes for the file, then blocks of records. A block is filled from its
// start; once full it gets its checksum and the next one begins, the oldest where all are full.
// Whatever the moment at which writing stops, each record is whole or is told from a whole one by
// its own check.
#pragma once

#include <algorithm>
#include <cstddef>
#include <span>
#include <string_view>

#include "record.hpp"

namespace violetusher::core::flight {

constexpr std::size_t kBlockBytes = 4096;
constexpr std::uint64_t kFileMagic = 0x3154484749'4c4656ull;  // "VFLIGHT1"
constexpr std::uint32_t kBlockMagic = 0x4b4c4246;             // "FBLK"
constexpr std::size_t kLeast = 3 * kBlockBytes;               ///< bytes of the smallest ring

struct FileHeader {
  std::uint64_t magic = kFileMagic;
  std::uint16_t version = kVersion;
  std::uint16_t record_size = sizeof(Record);
  std::uint32_t block_size = kBlockBytes;
  std::uint64_t blocks = 0;
  Micros started = 0;
  std::int64_t pid = 0;
  char name[64] = {};  ///< of the router; zeros behind it
  std::uint64_t checksum = 0;
};
static_assert(sizeof(FileHeader) % 8 == 0);

struct BlockHeader {
  std::uint32_t magic = 0;
  std::uint16_t version = 0;
  std::uint16_t sealed = 0;    ///< 1: full, and `checksum` holds
  std::uint64_t sequence = 0;  ///< counts blocks from 1
  Micros begun = 0;
  std::uint64_t checksum = 0;  ///< over the records and `sequence`
  std::uint64_t reserved[4] = {};
};
static_assert(sizeof(BlockHeader) == 64);
constexpr std::size_t kRecordsPerBlock = (kBlockBytes - sizeof(BlockHeader)) / sizeof(Record);

class Ring {
 public:
  /// Takes `memory`, of at least kLeast bytes and aligned to 8, for its own; what is left over
  /// behind the last whole block is not used. What was there before is lost.
  Ring(std::span<std::byte> memory, std::string_view name, std::int64_t pid, Micros now);

  void put(Record& record) {
    if (used_ == kRecordsPerBlock) next_block(record.at);
    std::uint64_t place = sequence_ * kRecordsPerBlock + used_;
    record.check = check_of(record, place);
    std::memcpy(block() + sizeof(BlockHeader) + used_ * sizeof(Record), &record, sizeof record);
    ++used_;
  }

  /// Records that were written over.
  std::uint64_t overwritten() const;
  std::uint64_t written() const { return (sequence_ - 1) * kRecordsPerBlock + used_; }
  std::size_t bytes() const { return (blocks_ + 1) * kBlockBytes; }
  std::span<const std::byte> memory() const { return memory_.first(bytes()); }

 private:
  std::byte* block() const {
    return memory_.data() + (1 + (sequence_ - 1) % blocks_) * kBlockBytes;
  }
  void next_block(Micros now);
  void open_block(Micros now);

  std::span<std::byte> memory_;
  std::uint64_t blocks_;
  std::uint64_t sequence_ = 1;
  std::size_t used_ = 0;
};

/// What notes events, where there is a ring; else costs one branch.
class Recorder {
 public:
  void attach(Ring* ring) { ring_ = ring; }
  bool on() const { return ring_ != nullptr; }
  void record(Micros at, Kind kind, RequestId request, int attempt = -1, std::uint32_t number = 0,
              std::int64_t value = 0, std::string_view text = {}, Reason why = Reason::kNone) {
    if (!ring_) return;
    Record r;
    r.at = at;
    r.request = request;
    r.value = value;
    r.number = number;
    r.attempt = static_cast<std::int16_t>(attempt);
    r.kind = kind;
    r.why = why;
    if (!text.empty()) std::memcpy(r.text, text.data(), std::min(text.size(), Record::kText));
    ring_->put(r);
  }

 private:
  Ring* ring_ = nullptr;
};

}  // namespace violetusher::core::flight
