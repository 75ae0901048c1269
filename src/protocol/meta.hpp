// memcache's meta protocol: commands and answers read incrementally from bytes, and written. No
// sockets here; every buffer is bounded.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "command.hpp"

namespace violetusher::protocol {

constexpr std::size_t kMaxLineBytes = 2048;  ///< bytes of one line, its end included

/// The bytes of `command` for a cache server, `wait_ms` in the place of the client's, behind `out`.
void append_command(std::string& out, const Command& command, std::int64_t wait_ms);
std::string command_bytes(const Command& command, std::int64_t wait_ms);
/// The bytes before a value of `length` bytes that serves the request `id`, behind `out`.
void append_value_head(std::string& out, const std::string& id, std::size_t length);
/// The bytes of the final answer to the request `id`, behind `out`.
void append_reply(std::string& out, const std::string& id, const Reply& reply);

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
  Got parse_line(std::string_view line, Command& command);

  State state_ = State::Line;
  std::string partial_;
  Command pending_;
  std::size_t value_remaining_ = 0;
};

/// Reads answers of one connection, in their order.
class AnswerReader {
 public:
  explicit AnswerReader(const std::vector<violetusher::ReportField>* fields) : fields_(fields) {}
  enum class Got {
    Nothing,  ///< all of `in` is consumed, nothing is whole
    Answer,   ///< `answer` is whole, its value too
    Begin,   ///< the head of `answer` is whole, whose value of over kMaxValueBytes bytes is to come
    Piece,   ///< more of that value: piece(); once all of it has come, the next one is Answer
    Broken,  ///< no answer of the protocol; the connection is of no more use
  };
  Got take(std::string_view& in, Answer& answer);
  /// Of a long value, in the memory that take() was given.
  std::string_view piece() const { return piece_; }
  /// True while an answer has come in part.
  bool in_answer() const { return !partial_.empty() || state_ != State::Line; }

 private:
  enum class State { Line, Value, Long, LongEnd };
  bool parse_line(std::string_view line, Answer& answer);
  void parse_report(std::string_view text, Answer& answer) const;

  const std::vector<violetusher::ReportField>* fields_;
  State state_ = State::Line;
  std::string partial_;
  Answer pending_;
  std::size_t remaining_ = 0;
  std::string_view piece_;
};

}  // namespace violetusher::protocol
