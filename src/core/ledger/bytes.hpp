// What the ledger's parts write to disks and links: values of nlohmann-json as CBOR (RFC 8949),
// read back with bounds, since whoever wrote them may have been torn, spoilt or of another fleet.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace violetusher::core::ledger {

using Json = nlohmann::json;

inline constexpr std::size_t kMaxEncodedBytes = 8u
                                                << 20;  ///< of one value; a snapshot is the largest
inline constexpr int kMaxNestingDepth = 12;

std::string to_bytes(const Json& value);
/// Nothing where the bytes are no value, or one past the bounds.
std::optional<Json> from_bytes(std::string_view bytes);

/// A byte string within a value, and back. Nothing that is no byte string has any.
Json binary(std::string_view bytes);
std::string bytes_of(const Json& value);

/// XXH3, 64 bits, of `bytes` after `before`: chained, it names a whole history.
std::uint64_t digest(std::string_view bytes, std::uint64_t before = 0);

}  // namespace violetusher::core::ledger
