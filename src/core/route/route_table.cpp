#include "route_table.hpp"

#include <algorithm>

namespace violetusher::core {
namespace {

constexpr unsigned kListener = 4, kTenant = 2, kType = 1;
constexpr int kBits = 21;  // width of each name's number in a bucket key

std::uint64_t bucket_key(std::uint32_t listener, std::uint32_t tenant, std::uint32_t type) {
  return (static_cast<std::uint64_t>(listener) << (2 * kBits)) |
         (static_cast<std::uint64_t>(tenant) << kBits) | type;
}

}  // namespace

void PrefixIndex::add(std::string prefix, std::uint32_t value) {
  entries_.push_back({std::move(prefix), value, kNone});
}

void PrefixIndex::seal() {
  std::stable_sort(entries_.begin(), entries_.end(),
                   [](const Entry& a, const Entry& b) { return a.prefix < b.prefix; });
  entries_.erase(std::unique(entries_.begin(), entries_.end(),
                             [](const Entry& a, const Entry& b) { return a.prefix == b.prefix; }),
                 entries_.end());
  // In sorted order a prefix precedes everything that starts with it: the open ones form a stack.
  std::vector<std::uint32_t> open;
  for (std::uint32_t k = 0; k < entries_.size(); ++k) {
    while (!open.empty() && !entries_[k].prefix.starts_with(entries_[open.back()].prefix))
      open.pop_back();
    entries_[k].parent = open.empty() ? kNone : open.back();
    open.push_back(k);
  }
}

std::uint32_t PrefixIndex::find(std::string_view key) const {
  auto after = std::upper_bound(entries_.begin(), entries_.end(), key,
                                [](std::string_view k, const Entry& e) { return k < e.prefix; });
  if (after == entries_.begin()) return kNone;
  // Every prefix of the key is the preceding entry or a prefix of that entry.
  auto k = static_cast<std::uint32_t>(after - entries_.begin() - 1);
  while (k != kNone && !key.starts_with(entries_[k].prefix)) k = entries_[k].parent;
  return k == kNone ? kNone : entries_[k].value;
}

RouteTable::RouteTable(const std::vector<RouteMatch>& routes) {
  auto number = [](Names& names, const std::string& name) {
    return name.empty()
               ? 0u
               : names.emplace(name, static_cast<std::uint32_t>(names.size() + 1)).first->second;
  };
  for (std::uint32_t k = 0; k < routes.size(); ++k) {
    const RouteMatch& r = routes[k];
    unsigned mask = (r.listener.empty() ? 0u : kListener) | (r.tenant.empty() ? 0u : kTenant) |
                    (r.type.empty() ? 0u : kType);
    by_mask_[mask][bucket_key(number(listeners_, r.listener), number(tenants_, r.tenant),
                              number(types_, r.type))]
        .add(r.prefix, k);
  }
  for (unsigned mask = 8; mask-- > 0;) {
    if (by_mask_[mask].empty()) continue;
    masks_.push_back(mask);
    for (auto& [key, index] : by_mask_[mask]) index.seal();
  }
}

std::uint32_t RouteTable::id_of(const Names& names, std::string_view name) {
  auto it = names.find(name);
  return it == names.end() ? kNone : it->second;
}

std::uint32_t RouteTable::lookup(unsigned mask, const RouteRequest& request) const {
  std::uint32_t listener = 0, tenant = 0, type = 0;
  if (mask & kListener && (listener = id_of(listeners_, request.listener)) == kNone) return kNone;
  if (mask & kTenant && (tenant = id_of(tenants_, request.tenant)) == kNone) return kNone;
  if (mask & kType && (type = id_of(types_, request.type)) == kNone) return kNone;
  auto it = by_mask_[mask].find(bucket_key(listener, tenant, type));
  return it == by_mask_[mask].end() ? kNone : it->second.find(request.key);
}

std::uint32_t RouteTable::find(const RouteRequest& request) const {
  for (unsigned mask : masks_)
    if (std::uint32_t found = lookup(mask, request); found != kNone) return found;
  return kNone;
}

}  // namespace violetusher::core
