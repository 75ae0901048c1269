// Records of the flight recorder: one of fixed size for each event of a request. The layout is that
// of the machine (little-endian x86-64 and arm64) and is identified by kVersion.
#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

#include "violetusher/balancer.hpp"

namespace violetusher::core::flight {

constexpr std::uint16_t kVersion = 1;

/// The kind of event; it determines the meaning of `number`, `value` and `text` of a record.
enum class Kind : std::uint8_t {
  kNone = 0,
  kReceived,  ///< text: the client's id; value: microseconds until the deadline
  kRouted,    ///< text: the pool; number: its module
  kSent,  ///< assigned to a connection; text: the server; number: the connection; value: attempts
          ///< queued before it there
  kWritten,    ///< its last byte was written to the socket; number: the connection
  kDial,       ///< text: the server; number: the connection
  kDialEnd,    ///< number: the connection; why: kNone if it was established, else kDial
  kMoved,      ///< moved to another connection as its dial failed; number, value as in kSent
  kEnd,        ///< of an attempt; value: its Status; text: the server
  kCancelled,  ///< the attempt was cancelled; value: its Status
  kRefused,  ///< the final answer is a refusal; why: the limit; value: retry after, in microseconds
  kFailed,   ///< the final answer is a failure; why
  kAnswered,            ///< the final answer is a success; number: bytes of the value
  kClientGone,          ///< the client disconnected before the answer
  kReleased,            ///< the request's state was released; its last record
  kLate,                ///< a final answer after the deadline; value: by how many microseconds
  kSecondAnswer,        ///< a second final answer was suppressed
  kAttemptAfterAnswer,  ///< an attempt after the final answer was suppressed
  kNoConnection,        ///< no connection to the server had room for the attempt; text: the server;
                        ///< value: its connections
  kAnswerPaused,        ///< the answer to an attempt has begun and pauses; text: the server
};
constexpr std::uint8_t kMaxKind = static_cast<std::uint8_t>(Kind::kAnswerPaused);

/// Which limit or rule ended a request.
enum class Reason : std::uint8_t {
  kNone = 0,
  kModule,             ///< the decision module refused or failed it
  kNoRoute,            ///< the operator file has no route for it
  kLimit,              ///< a limit, or a tenant's share, of the operator file
  kBudget,             ///< a retry budget of the operator file
  kRequestLimit,       ///< the table of open requests is full
  kMemoryLimit,        ///< of open requests, or of the buffers of clients
  kClientBufferLimit,  ///< the client's connection has reached its buffer limit
  kDial,               ///< no connection to the server was established
  kDeadline,           ///< the deadline passed
  kClientLeft,         ///< the client closed its sending side
  kShutdown,           ///< the router shut down
  kBadCommand,         ///< the command is invalid
  kDuplicateId,        ///< a request with its id has been sent to a server already
  kKeyExpired,         ///< servers may have forgotten its key
};
constexpr std::uint8_t kMaxReason = static_cast<std::uint8_t>(Reason::kKeyExpired);

/// Names as shown in recordings and logs; "unknown" for values out of range.
const char* name_of(Kind kind);
const char* name_of(Reason why);
const char* name_of(Status status);

/// One event of a request, as stored.
struct Record {
  static constexpr std::size_t kText = 30;
  Micros at = 0;          ///< monotonic, with Unix time as its origin
  RequestId request = 0;  ///< the router's number of the request; 0 = none
  std::int64_t value = 0;
  std::uint32_t number = 0;
  std::int16_t attempt = -1;  ///< -1 = the whole request
  Kind kind = Kind::kNone;
  Reason why = Reason::kNone;
  char text[kText] = {};    ///< truncated if longer; padded with zeros
  std::uint16_t check = 0;  ///< see checksum_of()

  std::string text_string() const { return {text, ::strnlen(text, kText)}; }
};
static_assert(sizeof(Record) == 64 && std::is_trivially_copyable_v<Record>);

__extension__ typedef unsigned __int128 Uint128;

/// A 64-bit hash of `count` words (multiply and fold, as in wyhash) that detects torn and corrupt
/// bytes; not secure against an adversary.
inline std::uint64_t mix(const std::uint64_t* words, std::size_t count, std::uint64_t seed) {
  std::uint64_t h = seed ^ 0x9e3779b97f4a7c15ull;
  for (std::size_t k = 0; k < count; ++k) {
    auto wide = static_cast<Uint128>(h ^ words[k]) * 0xd6e8feb86659fd93ull;
    h = static_cast<std::uint64_t>(wide) ^ static_cast<std::uint64_t>(wide >> 64);
  }
  return h;
}

/// The checksum of a record over all its other bytes and its place, so that a record left from an
/// earlier round of the ring is not taken for a current one.
inline std::uint16_t checksum_of(const Record& record, std::uint64_t place) {
  std::uint64_t words[8];
  std::memcpy(words, &record, sizeof record);
  words[7] &= 0x0000ffffffffffffull;
  return static_cast<std::uint16_t>(mix(words, 8, place) >> 48);
}

}  // namespace violetusher::core::flight
