#include "recording.hpp"

#include <algorithm>

namespace violetusher::core::flight {
namespace {

struct Block {
  BlockHeader header;
  std::span<const std::byte> records;
  std::size_t place;  // in the file, from 1
};

// Times and values of a recording that was written are far below: sums of some of them fit.
constexpr std::int64_t kMostFigure = std::int64_t{1} << 52;

bool known(const Record& r) {
  return r.at >= 0 && r.at < kMostFigure && r.value > -kMostFigure && r.value < kMostFigure &&
         r.kind != Kind::kNone && static_cast<std::uint8_t>(r.kind) <= kMostKind &&
         static_cast<std::uint8_t>(r.why) <= kMostWhy;
}

/// The records of one block up to the first that is not whole.
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
    if (!known(r) || r.check != check_of(r, place)) {
      broken = true;
      break;
    }
    out.records.push_back(r);
  }
  if (broken)
    out.problems.push_back(name + ": record " + std::to_string(good + 1) +
                           (last ? " is torn: writing stopped there"
                                 : " is broken; the rest of the block is left out"));
  else if (most < kRecordsPerBlock)
    out.problems.push_back(name + ": the file ends within it");
  else if (!last && good < kRecordsPerBlock)
    out.problems.push_back(name + ": ends after " + std::to_string(good) + " records");
  if (!broken && block.header.sealed && most == kRecordsPerBlock) {
    std::vector<std::uint64_t> words(kRecordsPerBlock * sizeof(Record) / 8);
    std::memcpy(words.data(), block.records.data(), words.size() * 8);
    if (mix(words.data(), words.size(), block.header.sequence) != block.header.checksum)
      out.problems.push_back(name + ": its checksum is wrong, though each record is whole");
  }
}

}  // namespace

bool read_recording(std::span<const std::byte> bytes, Recording& out, std::string& error) {
  FileHeader header;
  if (bytes.size() < sizeof header) {
    error = "too short for a recording";
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
    error = "the head of the recording is broken";
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
      out.problems.push_back("block " + std::to_string(k) + ": its head is broken, it is left out");
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
