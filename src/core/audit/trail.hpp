// Text format of an audit trail. Each line is one block, "SUM NUMBER BODY", where SUM is the XXH3
// of number and body seeded with the sum of the previous line. This chain detects lines that were
// truncated, torn, corrupted, edited or removed. It is no signature and does not protect against
// someone who recomputes the sums. Each file begins with a block of kind "file" that holds the
// router's name and the sum of the block before. Does no I/O.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace violetusher::core::audit {

using Json = nlohmann::json;

/// The position of a trail: number and sum of its last block.
struct TrailPosition {
  std::uint64_t number = 0, sum = 0;  ///< 0: nothing has been written yet
};

/// Formats a position as "NUMBER:SUM".
std::string format_position(const TrailPosition& position);
/// Parses "NUMBER:SUM"; nothing if `text` is not a position.
std::optional<TrailPosition> parse_position(std::string_view text);

/// Returns the line of the block after `last`, with its newline, and advances `last` to that block.
/// `body` must not contain a newline.
std::string append_block(TrailPosition& last, std::string_view body);
/// The body of a file's header, its first block. `why`: the reason for beginning a new file.
std::string header_body(const std::string& router, const TrailPosition& last,
                        const std::string& why);

/// A block whose sum has been verified.
struct Block {
  std::uint64_t number = 0, sum = 0;
  Json body;
};

/// A defect of a trail.
struct Fault {
  enum class Kind {
    kTorn,       ///< an incomplete line at the end of a file
    kCorrupt,    ///< a block whose sum does not match
    kMissing,    ///< blocks are missing
    kTruncated,  ///< the trail ends before a block that other routers know of
    kRewritten,  ///< that block has another sum than other routers know
    kForeign,    ///< a file of another router or of another chain
  };
  Kind kind = Kind::kCorrupt;
  std::uint64_t from = 0, to = 0;  ///< affected blocks, inclusive
  std::string file;
};
/// The kind as it is shown to operators.
std::string_view name_of(Fault::Kind kind);

/// The readable blocks of a router's trail, in order, and its defects.
struct Trail {
  std::string router;
  std::vector<Block> blocks;
  std::vector<Fault> faults;
  TrailPosition last;
};

/// Assembles a trail from its files, which are added in the order of their names.
class TrailReader {
 public:
  /// Adds a file. One without a valid header is recorded as a fault and skipped.
  void add_file(const std::string& name, std::string_view text);
  Trail finish() { return std::move(trail_); }

 private:
  void add_fault(Fault::Kind kind, std::uint64_t from, std::uint64_t to);

  Trail trail_;
  std::string file_;
};

/// Compares the trail with a position that other routers hold of it; a fault if they contradict,
/// with `from` as the first affected block. A block that was deleted with the oldest files, or that
/// is already affected by a fault, can't be compared.
std::optional<Fault> compare_with_position(const Trail& trail, const TrailPosition& expected);

/// The position of the last complete block in the text of a file, which may end in a torn line;
/// nothing if it has no complete block.
std::optional<TrailPosition> last_position_in(std::string_view text);

}  // namespace violetusher::core::audit
