// The encoding of the ledger on disk and in frames: JSON values as CBOR (RFC 8949). Decoding is
// bounded in size and depth, since the bytes may be torn, corrupt or from another fleet.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace violetusher::core::ledger {

using Json = nlohmann::json;

inline constexpr std::size_t kMaxEncodedBytes = 8u
                                                << 20;  ///< of one value; snapshots are the largest
inline constexpr int kMaxNestingDepth = 12;

/// Encodes a value as CBOR.
std::string to_bytes(const Json& value);
/// Decodes a value; nothing if the bytes are not one, or exceed the bounds.
std::optional<Json> from_bytes(std::string_view bytes);

/// Conversion to and from a byte string within a value; bytes_of() is empty for any other type.
Json binary(std::string_view bytes);
std::string bytes_of(const Json& value);

/// The 64-bit XXH3 of `bytes` seeded with `before`. Chained, it identifies a whole history.
std::uint64_t digest(std::string_view bytes, std::uint64_t before = 0);

}  // namespace violetusher::core::ledger
