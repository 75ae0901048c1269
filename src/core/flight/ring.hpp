// Ring buffer of the flight recorder, in memory that the caller owns: a mapped file if it has to
// survive the process. No allocation and no system calls.
//
// The layout is one block of kBlockBytes for the file header, then blocks of records. A block is
// filled from its start; a full one gets its checksum and the next one starts, overwriting the
// oldest. At whatever moment writing stops, the checksum of each record shows whether it is intact.
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
constexpr std::size_t kMinRingBytes = 3 * kBlockBytes;        ///< smallest size of a ring in bytes

/// The first block of a recording.
struct FileHeader {
  std::uint64_t magic = kFileMagic;
  std::uint16_t version = kVersion;
  std::uint16_t record_size = sizeof(Record);
  std::uint32_t block_size = kBlockBytes;
  std::uint64_t blocks = 0;
  Micros started = 0;
  std::int64_t pid = 0;
  char name[64] = {};  ///< name of the router; padded with zeros
  std::uint64_t checksum = 0;
};
static_assert(sizeof(FileHeader) % 8 == 0);

/// The start of each block of records.
struct BlockHeader {
  std::uint32_t magic = 0;
  std::uint16_t version = 0;
  std::uint16_t sealed = 0;    ///< 1: full, and `checksum` is valid
  std::uint64_t sequence = 0;  ///< block count, from 1
  Micros started = 0;
  std::uint64_t checksum = 0;  ///< over the records and `sequence`
  std::uint64_t reserved[4] = {};
};
static_assert(sizeof(BlockHeader) == 64);
constexpr std::size_t kRecordsPerBlock = (kBlockBytes - sizeof(BlockHeader)) / sizeof(Record);

/// Writes records into the ring.
class Ring {
 public:
  /// Uses `memory`, of at least kMinRingBytes and aligned to 8; bytes after the last whole block
  /// are not used. Previous contents are lost.
  Ring(std::span<std::byte> memory, std::string_view name, std::int64_t pid, Micros now);

  void put(Record& record) {
    if (used_ == kRecordsPerBlock) next_block(record.at);
    std::uint64_t place = sequence_ * kRecordsPerBlock + used_;
    record.check = checksum_of(record, place);
    std::memcpy(block() + sizeof(BlockHeader) + used_ * sizeof(Record), &record, sizeof record);
    ++used_;
  }

  /// Records that were overwritten.
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

/// Records events if a ring is attached; otherwise costs one branch.
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
