// A trail as text: one block a line, "SUM NUMBER BODY", where SUM is the XXH3 of number and body
// after the sum of the line before. So a line that was cut, torn, spoilt, edited or taken out is
// found. Not by whoever means to deceive and works the sums out anew: these are no signatures.
// Files begin with a block of kind "file" that names the router and the sum before. No I/O.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace violetusher::core::audit {

using Json = nlohmann::json;

/// Where a trail stands: its last block.
struct TrailPosition {
  std::uint64_t number = 0, sum = 0;  ///< 0: nothing was written yet
};

/// "NUMBER:SUM"
std::string format_position(const TrailPosition& position);
/// Nothing where it is none.
std::optional<TrailPosition> parse_position(std::string_view text);

/// The line of the next block, with its end; `last` becomes that block. `body` has no line end.
std::string append_block(TrailPosition& last, std::string_view body);
/// The body of the first block of a file.
std::string header_body(const std::string& router, const TrailPosition& last,
                        const std::string& why);

struct Block {
  std::uint64_t number = 0, sum = 0;
  Json body;
};

struct Fault {
  enum class Kind {
    kTorn,       ///< the end of a file that its writer did not come to finish
    kCorrupt,    ///< a block that is not what was written
    kMissing,    ///< blocks that are not there
    kTruncated,  ///< it ends before the block that others know of
    kRewritten,  ///< that block is another one than they know of
    kForeign,    ///< a file of another router or another history
  };
  Kind kind = Kind::kCorrupt;
  std::uint64_t from = 0, to = 0;  ///< blocks that are in doubt, the last with them
  std::string file;
};
std::string_view name_of(Fault::Kind kind);

/// What is left of a router's trail, in order, and what is wrong with it.
struct Trail {
  std::string router;
  std::vector<Block> blocks;
  std::vector<Fault> faults;
  TrailPosition last;
};

/// Puts files together that are given in the order of their names.
class TrailReader {
 public:
  /// A file without a head that can be read is a fault, and nothing of it is taken.
  void add_file(const std::string& name, std::string_view text);
  Trail finish() { return std::move(trail_); }

 private:
  void add_fault(Fault::Kind kind, std::uint64_t from, std::uint64_t to);

  Trail trail_;
  std::string file_;
};

/// Whether the trail bears out what others hold of it; `from` is the first block in doubt. A block
/// that went with the oldest files, or is in doubt already, tells nothing.
std::optional<Fault> compare_with_position(const Trail& trail, const TrailPosition& expected);

/// The last whole block of a file that is still written, or was when its writer ended; none where
/// there is no whole one.
std::optional<TrailPosition> last_position_in(std::string_view text);

}  // namespace violetusher::core::audit
