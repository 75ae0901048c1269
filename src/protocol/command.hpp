// What clients ask and what they and the router are answered, free of the protocol it came by. The
// table of open requests and all decisions see these values alone; a codec makes and reads the
// bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "violetusher/balancer.hpp"

namespace violetusher::protocol {

constexpr std::size_t kMaxKeyBytes = 250;          ///< bytes, as memcached has it
constexpr std::size_t kMaxOpaqueBytes = 64;        ///< bytes of a request's id
constexpr std::size_t kMaxValueBytes = 64u << 10;  ///< bytes of one value that is held whole
constexpr std::size_t kMaxStreamedValueBytes =
    4u << 20;  ///< bytes of a value that is passed on as it comes

/// The protocols that codecs exist for.
enum class WireProtocol : std::uint8_t { Meta };

/// One request.
struct Command {
  bool set = false;  ///< stores; else reads
  std::string id;    ///< the client's own, at most kMaxOpaqueBytes bytes; the answer bears it
  std::string key, type, tenant;
  std::string idempotency;           ///< key of a write whose repeats are dropped; empty = none
  std::string value;                 ///< of a set
  double wait_ms = 0;                ///< how long the client waits for this try
  std::optional<std::int64_t> work;  ///< its guess of the work, microseconds on a standard core
  bool repeat = false;
  std::string listener;  ///< by which it came; empty = the platform's
  /// What a codec needs to pass the request on as its client wrote it; no other code reads it. Of a
  /// meta command the line without its end, cut open where the figure of `d` stands.
  WireProtocol protocol = WireProtocol::Meta;
  std::string head, tail;

  /// As made anew, but for the memory of its texts, which is kept for the next one.
  void clear();
  /// What the command holds in memory, about; bytes.
  std::size_t size() const { return 4 * head.size() + value.size() + 512; }
};

inline void Command::clear() {
  set = repeat = false;
  for (std::string* text :
       {&id, &key, &type, &tenant, &idempotency, &value, &listener, &head, &tail})
    text->clear();
  wait_ms = 0;
  work.reset();
  protocol = WireProtocol::Meta;
}

/// A cache server's answer.
struct Answer {
  enum class Kind { Value, Stored, Busy, Error, Miss };
  Kind kind = Kind::Error;
  std::string id;              ///< the command's; may be empty where the answer bears none
  std::string receipt;         ///< of a write that is stored
  std::string value;           ///< of a read that is served; of a long one empty
  std::size_t length = 0;      ///< of that value, bytes
  int note = 0;                ///< 1 hit, 2 miss, 3 miss while another fetch is out, 0 not told
  violetusher::Report report;  ///< in the order of the settings' fields, NaN where not told; empty
                               ///< where no field could be read
  bool close_after = false;  ///< after such an answer the connection's framing is not to be trusted

  /// As made anew, but for the memory of its texts, which is kept for the next one.
  void clear() {
    kind = Kind::Error;
    for (std::string* text : {&id, &receipt, &value}) text->clear();
    length = 0, note = 0, close_after = false;
    report.clear();
  }
};

/// The one final answer that a client gets. Its texts are another's, which must outlive it.
struct Reply {
  enum class Kind {
    Value,
    Stored,
    Busy,    ///< refused: trying again is harmless
    Failed,  ///< promises nothing
    Bad,     ///< the command can't be used
  };
  Kind kind = Kind::Failed;
  std::string_view value;    ///< of Value
  std::string_view receipt;  ///< of Stored; may be empty
  Micros retry_after = 0;    ///< of Busy: when to try again at the earliest; 0 = not told

  explicit Reply(Kind of = Kind::Failed, Micros wait = 0) : kind(of), retry_after(wait) {}
};

}  // namespace violetusher::protocol
