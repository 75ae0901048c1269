// The memcache meta commands that clients send and the answers that cache servers give, read
// incrementally from bytes. No sockets here; every buffer is bounded.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::protocol {

constexpr std::size_t kMaxLine = 2048;        ///< bytes of one line, its end included
constexpr std::size_t kMaxKey = 250;          ///< as memcached has it
constexpr std::size_t kMaxOpaque = 64;        ///< of a request's id
constexpr std::size_t kMaxValue = 64u << 10;  ///< bytes of one value

/// One `mg` or `ms`. The line is kept as the client wrote it, cut open where `d` stands.
struct Command {
  bool set = false;
  std::string before_d, after_d;  ///< the line without its end, on both sides of the figure of `d`
  std::string id, key, type, tenant;
  double wait_ms = 0;  ///< `d`
  std::optional<std::int64_t> work;
  bool repeat = false;
  bool idempotent = false;  ///< it bears an idempotency key
  std::string value;        ///< of a set, with its line end

  /// The bytes for a cache server, `wait_ms` in the place of the client's.
  std::string wire(std::int64_t wait_ms) const;
  /// What the command holds in memory, about.
  std::size_t size() const { return 4 * before_d.size() + value.size() + 512; }
};

/// Reads commands. `take` consumes from `in`; what it can't finish yet it keeps, one line and one
/// value at most.
///
/// A command is taken only in the form that PROTOCOL gives it: a line with flags, bytes or figures
/// of another kind may mean something else to the cache server that it is passed on to.
class CommandReader {
 public:
  enum class Got {
    Nothing,  ///< all of `in` is consumed, no command is whole
    Command,  ///< `command` is whole
    Noop,     ///< `mn`
    Unknown,  ///< a line that is no command known here
    Bad,      ///< a command that can't be used; where the next one begins may be lost
  };
  Got take(std::string_view& in, Command& command);
  /// True while the bytes of a command have come in part.
  bool in_command() const { return !partial_.empty() || state_ != State::Line; }
  /// Bytes held of a command that is not whole.
  std::size_t buffered() const { return partial_.size() + pending_.value.size(); }

 private:
  enum class State { Line, Value };
  Got take_line(std::string_view line, Command& command);

  State state_ = State::Line;
  std::string partial_;
  Command pending_;
  std::size_t value_need_ = 0;
};

/// A cache server's answer.
struct Answer {
  enum class Kind { Value, Stored, Busy, Error, Miss };
  Kind kind = Kind::Error;
  std::string id;       ///< of `O`; may be empty where the line has none
  std::string receipt;  ///< of `HD`
  std::size_t length = 0;
  std::string value;  ///< of a `VA`, with its line end
  int note = 0;       ///< 1 hit, 2 miss, 3 miss while another fetch is out, 0 not told
  std::vector<double> report;  ///< in the order of the settings' fields, NaN where not told;
                               ///< empty where no field could be read
  bool last = false;  ///< after such a line the connection's framing is not to be trusted
};

/// Reads answers of one connection, in their order.
class AnswerReader {
 public:
  explicit AnswerReader(const std::vector<violetusher::ReportField>* fields) : fields_(fields) {}
  enum class Got {
    Nothing,  ///< all of `in` is consumed, nothing is whole
    Answer,   ///< `answer` is whole, its value too
    Broken,   ///< no answer of the protocol; the connection is of no more use
  };
  Got take(std::string_view& in, Answer& answer);
  /// True while an answer has come in part.
  bool in_answer() const { return !partial_.empty() || state_ != State::Line; }

 private:
  enum class State { Line, Value };
  bool parse_line(std::string_view line, Answer& answer) const;
  void parse_report(std::string_view text, Answer& answer) const;

  const std::vector<violetusher::ReportField>* fields_;
  State state_ = State::Line;
  std::string partial_;
  Answer pending_;
  std::size_t need_ = 0;
};

}  // namespace violetusher::protocol
