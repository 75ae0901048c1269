#include "recording.hpp"

#include <algorithm>

namespace violetusher::core::flight {
namespace {

struct Block {
  BlockHeader header;
  std::span<const std::byte> records;
  std::size_t place;  // block number in the file, from 1
};

// Recorded times and values are far below this, so that sums of them do not overflow.
constexpr std::int64_t kMaxValue = std::int64_t{1} << 52;

bool known(const Record& r) {
  return r.at >= 0 && r.at < kMaxValue && r.value > -kMaxValue && r.value < kMaxValue &&
         r.kind != Kind::kNone && static_cast<std::uint8_t>(r.kind) <= kMaxKind &&
         static_cast<std::uint8_t>(r.why) <= kMaxReason;
}

/// Reads the records of one block up to the first that is not intact.
void read_block(const Block& block, bool last, Recording& out) {
  std::string name = "block " + std::to_string(block.place);
  std::size_t most = block.records.size() / sizeof(Record), good = 0;
  bool broken = false;
  for (; good < most; ++good) {
    Record r;
    std::memcpy(&r, block.records.data() + good * sizeof(Record), sizeof r);
    bool empty = r.kind == Kind::kNone && r.at == 0 && r.check == 0;
    if (empty) break;
    std::uint64_t place = block.header.sequence * kRecordsPerBlock + good;
    if (!known(r) || r.check != checksum_of(r, place)) {
      broken = true;
      break;
    }
    out.records.push_back(r);
  }
  if (broken)
    out.problems.push_back(name + ": record " + std::to_string(good + 1) +
                           (last ? " is incomplete: writing stopped there"
                                 : " is corrupt; the rest of the block is skipped"));
  else if (most < kRecordsPerBlock)
    out.problems.push_back(name + ": the file ends within it");
  else if (!last && good < kRecordsPerBlock)
    out.problems.push_back(name + ": ends after " + std::to_string(good) + " records");
  if (!broken && block.header.sealed && most == kRecordsPerBlock) {
    std::vector<std::uint64_t> words(kRecordsPerBlock * sizeof(Record) / 8);
    std::memcpy(words.data(), block.records.data(), words.size() * 8);
    if (mix(words.data(), words.size(), block.header.sequence) != block.header.checksum)
      out.problems.push_back(name +
                             ": the checksum of the block is wrong, though each record is intact");
  }
}

}  // namespace

bool read_recording(std::span<const std::byte> bytes, Recording& out, std::string& error) {
  FileHeader header;
  if (bytes.size() < sizeof header) {
    error = "too short to be a recording";
    return false;
  }
  std::memcpy(&header, bytes.data(), sizeof header);
  if (header.magic != kFileMagic) {
    error = "not a recording of the flight recorder";
    return false;
  }
  if (header.version != kVersion) {
    error = "a recording of version " + std::to_string(header.version) +
            "; this program reads version " + std::to_string(kVersion);
    return false;
  }
  std::uint64_t words[sizeof header / 8];
  std::memcpy(words, &header, sizeof header);
  if (mix(words, sizeof header / 8 - 1, kVersion) != header.checksum ||
      header.record_size != sizeof(Record) || header.block_size != kBlockBytes) {
    error = "the header of the recording is corrupt";
    return false;
  }
  out = {};
  out.name = std::string(header.name, ::strnlen(header.name, sizeof header.name));
  out.started = header.started;
  out.pid = header.pid;
  std::vector<Block> blocks;
  for (std::size_t k = 1; k <= header.blocks; ++k) {
    if (bytes.size() <= k * kBlockBytes) {
      out.problems.push_back("the file ends before block " + std::to_string(k) + " of " +
                             std::to_string(header.blocks));
      break;
    }
    auto block =
        bytes.subspan(k * kBlockBytes, std::min(kBlockBytes, bytes.size() - k * kBlockBytes));
    Block b{{}, {}, k};
    if (block.size() < sizeof b.header) {
      out.problems.push_back("block " + std::to_string(k) + ": the file ends within it");
      break;
    }
    std::memcpy(&b.header, block.data(), sizeof b.header);
    b.records = block.subspan(sizeof b.header);
    if (b.header.magic == 0 && b.header.sequence == 0) continue;  // never used
    bool here = b.header.sequence > 0 && (b.header.sequence - 1) % header.blocks == k - 1;
    if (b.header.magic != kBlockMagic || b.header.version != kVersion || !here) {
      out.problems.push_back("block " + std::to_string(k) +
                             ": its header is corrupt, the block is skipped");
      continue;
    }
    blocks.push_back(b);
  }
  std::sort(blocks.begin(), blocks.end(),
            [](const Block& a, const Block& b) { return a.header.sequence < b.header.sequence; });
  if (!blocks.empty() && blocks.back().header.sequence > header.blocks)
    out.overwritten = (blocks.back().header.sequence - header.blocks) * kRecordsPerBlock;
  for (std::size_t k = 0; k < blocks.size(); ++k)
    read_block(blocks[k], k + 1 == blocks.size(), out);
  return true;
}

}  // namespace violetusher::core::flight
