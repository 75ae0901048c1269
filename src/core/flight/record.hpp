// What the flight recorder keeps: one record of fixed size for each thing that happens to a
// request. The layout is that of the machine (little-endian x86-64 and arm64) and is named by
// kVersion.
#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

#include "violetusher/balancer.hpp"

namespace violetusher::core::flight {

constexpr std::uint16_t kVersion = 1;

enum class Kind : std::uint8_t {
  kNone = 0,
  kReceived,      ///< text: the client's id; value: microseconds until the deadline
  kRouted,        ///< text: the pool; number: its module
  kSent,          ///< given to a server's connection; text: the server; number: the connection;
                  ///< value: how many attempts stand before it there
  kWritten,       ///< its last byte went to the socket; number: the connection
  kDial,          ///< text: the server; number: the connection
  kDialEnd,       ///< number: the connection; why: kNone where it came up, else kDial
  kMoved,         ///< went to another connection, as its dial failed; number, value as in kSent
  kEnd,           ///< of an attempt; value: its Status; text: the server
  kCancelled,     ///< the attempt was given up; value: its Status
  kRefused,       ///< the final answer is a refusal; why: by which bound; value: come back, us
  kFailed,        ///< the final answer promises nothing; why
  kAnswered,      ///< the final answer serves; number: bytes of the value
  kClientGone,    ///< nobody is left to get an answer
  kReleased,      ///< the last thing kept of a request
  kLate,          ///< a final answer after the deadline; value: by how much, us
  kSecondAnswer,  ///< a second final answer was stopped
  kAttemptAfterAnswer,  ///< an attempt after the final answer was stopped
  kNoConnection,        ///< no connection to the server had room for the attempt; text: the server;
                        ///< value: connections that it has
};
constexpr std::uint8_t kMostKind = static_cast<std::uint8_t>(Kind::kNoConnection);

/// Whose bound it was that a request met.
enum class Reason : std::uint8_t {
  kNone = 0,
  kModule,             ///< the decision module refused or failed it
  kNoRoute,            ///< the operator file has no route for it
  kLimit,              ///< a limit, or a banner's share, of the operator file
  kBudget,             ///< a retry budget of the operator file
  kRequestLimit,       ///< as many requests are open as may be
  kMemoryLimit,        ///< what open requests hold has reached its bound
  kClientBufferLimit,  ///< the client's connection is beyond its bound
  kDial,               ///< no connection to the server came up
  kDeadline,           ///< its time was over
  kClientLeft,         ///< the client ended its sending
  kShutdown,           ///< the router ended
  kBadCommand,         ///< the command can't be used
};
constexpr std::uint8_t kMostWhy = static_cast<std::uint8_t>(Reason::kBadCommand);

const char* name_of(Kind kind);
const char* name_of(Reason why);
const char* name_of(Status status);

struct Record {
  static constexpr std::size_t kText = 30;
  Micros at = 0;          ///< monotonic, Unix time as its origin
  RequestId request = 0;  ///< the router's own number of the request; 0 = of none
  std::int64_t value = 0;
  std::uint32_t number = 0;
  std::int16_t attempt = -1;  ///< -1 = of the whole request
  Kind kind = Kind::kNone;
  Reason why = Reason::kNone;
  char text[kText] = {};    ///< cut off where it is longer; zeros behind it
  std::uint16_t check = 0;  ///< see seal()

  std::string text_string() const { return {text, ::strnlen(text, kText)}; }
};
static_assert(sizeof(Record) == 64 && std::is_trivially_copyable_v<Record>);

__extension__ typedef unsigned __int128 Wide;

/// A 64-bit mix of `words` words (multiply and fold, as in wyhash), for checks against torn and
/// broken bytes; not against an adversary.
inline std::uint64_t mix(const std::uint64_t* words, std::size_t count, std::uint64_t seed) {
  std::uint64_t h = seed ^ 0x9e3779b97f4a7c15ull;
  for (std::size_t k = 0; k < count; ++k) {
    auto wide = static_cast<Wide>(h ^ words[k]) * 0xd6e8feb86659fd93ull;
    h = static_cast<std::uint64_t>(wide) ^ static_cast<std::uint64_t>(wide >> 64);
  }
  return h;
}

/// The check of a record: over all its other bytes and the place that it stands in, so that one
/// left from an earlier round of the ring is not taken for this one's.
inline std::uint16_t check_of(const Record& record, std::uint64_t place) {
  std::uint64_t words[8];
  std::memcpy(words, &record, sizeof record);
  words[7] &= 0x0000ffffffffffffull;
  return static_cast<std::uint16_t>(mix(words, 8, place) >> 48);
}

}  // namespace violetusher::core::flight
