// The memcache meta protocol: incremental parsers for commands and answers, and their
// serialization. Works on byte buffers only; every buffer is bounded.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "command.hpp"

namespace violetusher::protocol {

constexpr std::size_t kMaxLineBytes = 2048;  ///< of a line, its terminator included

constexpr std::string_view kLineEnd = "\r\n";

/// Appends the line of `command` and its end to `out` as it is sent to a cache server, with
/// `wait_ms` in place of the client's timeout. The value of a write and kLineEnd follow it.
void append_command_line(std::string& out, const Command& command, std::int64_t wait_ms);
/// The whole command as it is sent.
std::string command_bytes(const Command& command, std::int64_t wait_ms);
/// Appends the header line of a value of `length` bytes for the request `id` to `out`.
void append_value_head(std::string& out, const std::string& id, std::size_t length);
/// Appends the final answer to the request `id` to `out`.
void append_reply(std::string& out, const std::string& id, const Reply& reply);

/// Parses commands. `take` consumes bytes from `in` and buffers an incomplete command, at most one
/// line and one value.
///
/// Only the exact form of the protocol is accepted: a line with other flags, bytes or numbers might
/// mean something else to the cache server that it is forwarded to.
class CommandReader {
 public:
  enum class Got {
    Nothing,  ///< all of `in` is consumed; no command is complete
    Command,  ///< `command` is complete
    Noop,     ///< `mn`
    Unknown,  ///< an unknown command
    Bad,      ///< an invalid command; the start of the next one may be unknown
  };
  Got take(std::string_view& in, Command& command);
  /// Values over `bytes` that begin from now on are discarded as they come; see
  /// Command::value_discarded.
  void set_max_kept_value(std::size_t bytes) { max_kept_value_ = bytes; }
  /// True while a command is incomplete.
  bool in_command() const { return !partial_.empty() || state_ != State::Line; }
  /// True while the value of a command is incomplete.
  bool in_value() const { return state_ == State::Value; }
  /// Bytes buffered for an incomplete command, with room for the rest of its value.
  std::size_t buffered() const {
    bool keeps_value = state_ == State::Value && !pending_.value_discarded;
    return partial_.size() + value_.size() + (keeps_value ? value_remaining_ : 0);
  }

 private:
  enum class State { Line, Value };
  Got parse_line(std::string_view line, Command& command);
  void take_value(std::string_view& in);

  State state_ = State::Line;
  std::string partial_;
  Command pending_;
  std::string value_;  // of pending_, with its line end, as far as it has come
  std::size_t value_remaining_ = 0;
  std::size_t max_kept_value_ = kMaxValueBytes;
};

/// Parses the answers on one connection.
class AnswerReader {
 public:
  explicit AnswerReader(const std::vector<violetusher::ReportField>* fields) : fields_(fields) {}
  enum class Got {
    Nothing,  ///< all of `in` is consumed; nothing is complete
    Answer,   ///< `answer` is complete, including its value
    Begin,    ///< the header of `answer` is complete; a value over kMaxValueBytes follows
    Piece,    ///< more of that value, in piece(); Answer follows the last one
    Broken,   ///< a protocol error; the connection can't be used any more
  };
  Got take(std::string_view& in, Answer& answer);
  /// Part of a streamed value; points into the input of take().
  std::string_view piece() const { return piece_; }
  /// True while an answer is incomplete.
  bool in_answer() const { return !partial_.empty() || state_ != State::Line; }
  /// Bytes buffered for an incomplete answer.
  std::size_t buffered() const { return partial_.size() + pending_.value.size(); }
  /// Bytes still to be buffered for its value.
  std::size_t to_be_buffered() const { return state_ == State::Value ? remaining_ : 0; }
  /// Allocates the memory for them.
  void reserve_buffer() { pending_.value.reserve(pending_.value.size() + to_be_buffered()); }
  /// The header of the answer whose value is incomplete; null while there is none.
  const Answer* value_head() const { return state_ == State::Line ? nullptr : &pending_; }

 private:
  enum class State { Line, Value, StreamedValue, StreamedValueEnd };
  Got take_whole_value(std::string_view& in, Answer& answer);
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
