// Which route a request takes. No I/O; a look-up allocates nothing.
//
// Order, most specific first: a route that names the listener comes before one that does not, then
// the tenant, then the class, then the longest prefix of the key. So each request has one route or
// none.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace violetusher::core {

struct RouteMatch {
  std::string listener, tenant, type, prefix;  ///< empty = any
};

/// What of a request a route can match on. Views must live through the call only.
struct RouteRequest {
  std::string_view listener, tenant, type, key;
};

/// Prefixes in order, each with the longest other one that it begins with: the longest prefix of a
/// key is found by one binary search and a walk over ever shorter ones.
class PrefixIndex {
 public:
  void add(std::string prefix, std::uint32_t value);
  /// Call once after the last add(). Of equal prefixes the first one added stays.
  void seal();
  /// The value of the longest prefix of `key`, or kNone.
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

class RouteTable {
 public:
  /// The number of a route is its place in `routes`.
  explicit RouteTable(const std::vector<RouteMatch>& routes);
  static constexpr std::uint32_t kNone = PrefixIndex::kNone;
  std::uint32_t find(const RouteRequest& request) const;
  /// The same, with a call for each step that was tried, for people: what was named and what was
  /// found.
  template <typename Told>
  std::uint32_t explain(const RouteRequest& request, Told told) const {
    for (unsigned mask : masks_) {
      std::uint32_t found = look(mask, request);
      told(mask & 4u, mask & 2u, mask & 1u, found);
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
  std::uint32_t look(unsigned mask, const RouteRequest& request) const;

  Names listeners_, tenants_, types_;
  std::vector<unsigned> masks_;  // 4 listener, 2 tenant, 1 class: those in use, most specific first
  std::array<std::unordered_map<std::uint64_t, PrefixIndex>, 8> by_mask_;
};

}  // namespace violetusher::core
