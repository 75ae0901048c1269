#include "ring.hpp"

#include <algorithm>
#include <stdexcept>

namespace violetusher::core::flight {

Ring::Ring(std::span<std::byte> memory, std::string_view name, std::int64_t pid, Micros now)
    : memory_(memory), blocks_(memory.size() / kBlockBytes - 1) {
  if (memory.size() < kMinRingBytes)
    throw std::invalid_argument("flight ring: memory is smaller than three blocks");
  FileHeader header;
  header.blocks = blocks_;
  header.started = now;
  header.pid = pid;
  std::copy_n(name.begin(), std::min(name.size(), sizeof header.name), header.name);
  header.checksum =
      mix(reinterpret_cast<const std::uint64_t*>(&header), sizeof header / 8 - 1, kVersion);
  std::memcpy(memory_.data(), &header, sizeof header);
  open_block(now);
}

void Ring::open_block(Micros now) {
  // Clears the records of the previous round first: a block never mixes two rounds.
  std::fill_n(block(), kBlockBytes, std::byte{0});
  BlockHeader header;
  header.magic = kBlockMagic;
  header.version = kVersion;
  header.sequence = sequence_;
  header.started = now;
  std::memcpy(block(), &header, sizeof header);
  used_ = 0;
}

void Ring::next_block(Micros now) {
  BlockHeader header;
  std::memcpy(&header, block(), sizeof header);
  header.checksum = mix(reinterpret_cast<const std::uint64_t*>(block() + sizeof header),
                        kRecordsPerBlock * sizeof(Record) / 8, header.sequence);
  header.sealed = 1;
  std::memcpy(block(), &header, sizeof header);
  ++sequence_;
  open_block(now);
}

std::uint64_t Ring::overwritten() const {
  return sequence_ > blocks_ ? (sequence_ - blocks_) * kRecordsPerBlock : 0;
}

}  // namespace violetusher::core::flight
