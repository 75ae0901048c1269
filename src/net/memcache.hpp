// The memcache meta commands that clients send and the answers that cache servers give, read
// incrementally from bytes. No sockets here; every buffer is bounded.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "robinseam/balancer.hpp"

namespace arrowfork {

constexpr std::size_t kMaxLine = 4096;         ///< bytes of one line, its end included
constexpr std::size_t kMaxKey = 250;           ///< as memcached has it
constexpr std::size_t kMaxValue = 4u << 20;    ///< bytes of one value
constexpr std::size_t kLargeValue = 64u << 10; ///< a longer one is streamed to the client

/// One `mg` or `ms`. The line is kept as the client wrote it, cut open where `d` stands.
struct Command {
  bool set = false;
  std::string before_d, after_d;  ///< the line without its end, on both sides of the figure of `d`
  std::string id, key, type, tenant;
  double wait_ms = -1;  ///< `d`; negative where the client gave none
  std::optional<std::int64_t> work;
  bool repeat = false;
  std::shared_ptr<const std::string> value;  ///< of a set, with its line end

  /// The bytes for a cache server up to the value, `wait_ms` in the place of the client's.
  std::string line(std::int64_t wait_ms) const;
};

/// Reads commands. `take` consumes from `in`; what it can't finish yet it keeps.
class CommandReader {
 public:
  enum class Got {
    Nothing,  ///< all of `in` is consumed, no command is whole
    Command,  ///< `command` is whole
    Noop,     ///< `mn`
    Unknown,  ///< a line that is no command known here: ERROR
    Bad,      ///< a malformed command whose end is certain: CLIENT_ERROR
    Broken,   ///< where the next command begins is lost: CLIENT_ERROR and close
  };
  Got take(std::string_view& in, Command& command);
  /// True while the bytes of a command have come in part.
  bool in_command() const { return !partial_.empty() || state_ != State::Line; }
  /// Bytes that are still to come of a set's value, 0 elsewhere.
  std::size_t value_missing() const { return state_ == State::Value ? value_need_ : 0; }

 private:
  enum class State { Line, Value, Skip };
  Got take_line(std::string_view line, Command& command);

  State state_ = State::Line;
  std::string partial_;
  Command pending_;
  std::shared_ptr<std::string> value_;
  std::size_t value_need_ = 0;
};

/// A cache server's answer.
struct Answer {
  enum class Kind { Value, Stored, Busy, Error, Miss };
  Kind kind = Kind::Error;
  std::string id;       ///< of `O`; may be empty where the line has none
  std::string receipt;  ///< of `HD`
  std::size_t length = 0;
  std::string value;  ///< of a `VA` that is not large
  int note = 0;       ///< 1 hit, 2 miss, 3 miss while another fetch is out, 0 not told
  std::vector<double> report;  ///< in the order of the settings' fields; NaN where not told
  bool last = false;  ///< after such a line the connection's framing is not to be trusted
};

/// Reads answers of one connection, in their order.
class AnswerReader {
 public:
  explicit AnswerReader(const std::vector<robinseam::ReportField>* fields) : fields_(fields) {}
  enum class Got {
    Nothing,  ///< all of `in` is consumed, nothing is whole
    Answer,   ///< `answer` is whole, its value too
    Head,     ///< the line of a large value; Chunks and an End follow
    Chunk,    ///< `chunk` is a part of the large value
    End,      ///< the large value is whole
    Broken,   ///< no answer of the protocol; the connection is of no more use
  };
  Got take(std::string_view& in, Answer& answer, std::string_view& chunk);
  /// True while an answer has come in part.
  bool in_answer() const { return !partial_.empty() || state_ != State::Line; }

 private:
  enum class State { Line, Value, Large, LargeEnd };
  bool parse_line(std::string_view line, Answer& answer) const;
  void parse_report(std::string_view text, Answer& answer) const;

  const std::vector<robinseam::ReportField>* fields_;
  State state_ = State::Line;
  std::string partial_;
  Answer pending_;
  std::size_t need_ = 0;
};

}  // namespace arrowfork
