// Requests and answers, independent of the protocol that carries them. The request table and all
// decisions work on these types; a codec parses and writes the bytes.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::protocol {

constexpr std::size_t kMaxKeyBytes = 250;          ///< memcached's limit
constexpr std::size_t kMaxOpaqueBytes = 64;        ///< of a request's id
constexpr std::size_t kMaxValueBytes = 64u << 10;  ///< of a value that is buffered completely
constexpr std::size_t kMaxStreamedValueBytes =
    4u << 20;  ///< of a value that is forwarded as it arrives

/// The protocols with a codec.
enum class WireProtocol : std::uint8_t { Meta };

/// The value of a write. It is held once, by the request and by all attempts that have yet to send
/// it; null for a read.
using SharedValue = std::shared_ptr<const std::string>;

/// One request.
struct Command {
  bool set = false;  ///< a write; else a read
  std::string id;    ///< chosen by the client, at most kMaxOpaqueBytes; echoed in the answer
  std::string key, type, tenant;
  std::string idempotency;       ///< idempotency key of a write; empty = none
  SharedValue value;             ///< of a set
  bool value_discarded = false;  ///< it was not kept: the command can't be forwarded
  double wait_ms = 0;            ///< the client's timeout for this attempt
  /// How long ago it was received: commands of one connection may wait for others of it.
  violetusher::Micros waited = 0;
  std::optional<std::int64_t> work;  ///< client's estimate, microseconds on a standard core
  bool repeat = false;
  std::string listener;  ///< that accepted the connection; empty = the platform's
  /// For the codec only, to forward the request as the client wrote it. For a meta command: the
  /// line without its end, split at the value of `d`, which is replaced.
  WireProtocol protocol = WireProtocol::Meta;
  std::string head, tail;

  /// Resets all fields; keeps the memory of the strings for reuse.
  void clear();
  /// Approximate memory of the command, bytes.
  std::size_t size() const { return 4 * head.size() + value_size() + 512; }
  std::size_t value_size() const { return value ? value->size() : 0; }
};

inline void Command::clear() {
  set = repeat = value_discarded = false;
  for (std::string* text : {&id, &key, &type, &tenant, &idempotency, &listener, &head, &tail})
    text->clear();
  value.reset();
  wait_ms = 0;
  waited = 0;
  work.reset();
  protocol = WireProtocol::Meta;
}

/// A cache server's answer.
struct Answer {
  enum class Kind { Value, Stored, Busy, Error, Miss };
  Kind kind = Kind::Error;
  std::string id;              ///< of the command; empty if the answer has none
  std::string receipt;         ///< of a stored write
  std::string value;           ///< of a read; empty for a streamed value
  std::size_t length = 0;      ///< of the value, bytes
  int note = 0;                ///< 1 hit, 2 miss, 3 miss with a fetch in progress, 0 unknown
  violetusher::Report report;  ///< in the order of the settings' fields, NaN for absent ones;
                               ///< empty if no field could be read
  bool close_after = false;    ///< the connection may be out of sync after this answer

  /// Resets all fields; keeps the memory of the strings for reuse.
  void clear() {
    kind = Kind::Error;
    for (std::string* text : {&id, &receipt, &value}) text->clear();
    length = 0, note = 0, close_after = false;
    report.clear();
  }
};

/// The final answer to a client. Its strings are views, which must stay valid.
struct Reply {
  enum class Kind {
    Value,
    Stored,
    Busy,    ///< refused before any effect: a retry is safe
    Failed,  ///< the request may or may not have run
    Bad,     ///< the command is invalid
  };
  Kind kind = Kind::Failed;
  std::string_view value;    ///< of Value
  std::string_view receipt;  ///< of Stored; may be empty
  Micros retry_after = 0;    ///< of Busy: earliest time of a retry; 0 = none given

  explicit Reply(Kind of = Kind::Failed, Micros wait = 0) : kind(of), retry_after(wait) {}
};

}  // namespace violetusher::protocol
