// Maps a request to its route. No I/O; a lookup allocates nothing.
//
// Order, most specific first: a route that names the listener comes before one that does not, then
// the tenant, then the class, then the longest key prefix. Each request thus has one route or none.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace violetusher::core {

/// The attributes that a route matches.
struct RouteMatch {
  std::string listener, tenant, type, prefix;  ///< empty = any
};

/// The attributes of a request that a route can match. The views have to live through the call
/// only.
struct RouteRequest {
  std::string_view listener, tenant, type, key;
};

/// Sorted prefixes, each linked to the longest other one that it starts with: the longest prefix of
/// a key is found by one binary search and a walk along ever shorter prefixes.
class PrefixIndex {
 public:
  void add(std::string prefix, std::uint32_t value);
  /// Call once after the last add(). Of equal prefixes the first one added is kept.
  void seal();
  /// Returns the value of the longest prefix of `key`, or kNone.
  std::uint32_t find(std::string_view key) const;
  std::size_t size() const { return entries_.size(); }
  static constexpr std::uint32_t kNone = ~std::uint32_t{0};

 private:
  struct Entry {
    std::string prefix;
    std::uint32_t value;
    std::uint32_t parent;
  };
  std::vector<Entry> entries_;
};

/// An immutable table of routes with a lookup by the order above.
class RouteTable {
 public:
  /// A route's number is its index in `routes`.
  explicit RouteTable(const std::vector<RouteMatch>& routes);
  static constexpr std::uint32_t kNone = PrefixIndex::kNone;
  std::uint32_t find(const RouteRequest& request) const;
  /// The same as find(), with a callback for each lookup step: which attributes were matched, and
  /// the route found. For explanations to operators.
  template <typename Visitor>
  std::uint32_t explain(const RouteRequest& request, Visitor visit) const {
    for (unsigned mask : masks_) {
      std::uint32_t found = lookup(mask, request);
      visit(mask & 4u, mask & 2u, mask & 1u, found);
      if (found != kNone) return found;
    }
    return kNone;
  }

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  using Names = std::unordered_map<std::string, std::uint32_t, Hash, std::equal_to<>>;
  static std::uint32_t id_of(const Names& names, std::string_view name);
  std::uint32_t lookup(unsigned mask, const RouteRequest& request) const;

  Names listeners_, tenants_, types_;
  // Bits: 4 listener, 2 tenant, 1 class. The masks in use, most specific first.
  std::vector<unsigned> masks_;
  std::array<std::unordered_map<std::uint64_t, PrefixIndex>, 8> by_mask_;
};

}  // namespace violetusher::core
