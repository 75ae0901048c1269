// Compares the route table with a linear search over all routes.
#include "core/route/route_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace violetusher::core {
namespace {

/// The documented order by linear search: listener, tenant, class, longest prefix; the first of
/// equals.
std::uint32_t linear_search(const std::vector<RouteMatch>& routes, const RouteRequest& r) {
  std::uint32_t best = RouteTable::kNone;
  auto rank = [](const RouteMatch& m) {
    return std::tuple(!m.listener.empty(), !m.tenant.empty(), !m.type.empty(), m.prefix.size());
  };
  for (std::uint32_t k = 0; k < routes.size(); ++k) {
    const RouteMatch& m = routes[k];
    if ((m.listener.empty() || m.listener == r.listener) &&
        (m.tenant.empty() || m.tenant == r.tenant) && (m.type.empty() || m.type == r.type) &&
        r.key.starts_with(m.prefix) && (best == RouteTable::kNone || rank(m) > rank(routes[best])))
      best = k;
  }
  return best;
}

rc::Gen<std::string> word(const char* letters, int most) {
  return rc::gen::mapcat(rc::gen::inRange(0, most + 1), [=](int n) {
    return rc::gen::container<std::string>(static_cast<std::size_t>(n),
                                           rc::gen::elementOf(std::string(letters)));
  });
}

RC_GTEST_PROP(RouteTable, AgreesWithALinearSearch, ()) {
  auto routes = *rc::gen::container<std::vector<RouteMatch>>(
      rc::gen::build<RouteMatch>(rc::gen::set(&RouteMatch::listener, word("x", 1)),
                                 rc::gen::set(&RouteMatch::tenant, word("ab", 1)),
                                 rc::gen::set(&RouteMatch::type, word("cd", 1)),
                                 rc::gen::set(&RouteMatch::prefix, word("pq", 5))));
  RouteTable table(routes);
  for (int k = 0; k < 20; ++k) {
    auto l = *word("xy", 1), t = *word("abz", 1), c = *word("cdz", 1), key = *word("pqr", 8);
    RouteRequest r{l, t, c, key};
    RC_ASSERT(table.find(r) == linear_search(routes, r));
  }
}

TEST(RouteTable, AnEmptyTableHasNoRoute) {
  EXPECT_EQ(RouteTable({}).find({"l", "t", "c", "k"}), RouteTable::kNone);
}

TEST(PrefixIndex, FindsTheLongestMatchingPrefix) {
  PrefixIndex index;
  index.add("", 0), index.add("a", 1), index.add("abc", 2), index.add("abd", 3),
      index.add("abcdef", 4), index.add("a", 9);
  index.seal();
  EXPECT_EQ(index.size(), 5u);
  EXPECT_EQ(index.find(""), 0u);
  EXPECT_EQ(index.find("b"), 0u);
  EXPECT_EQ(index.find("abb"), 1u);
  EXPECT_EQ(index.find("abcde"), 2u);
  EXPECT_EQ(index.find("abcdeg"), 2u);
  EXPECT_EQ(index.find("abcdefg"), 4u);
  EXPECT_EQ(index.find("abz"), 1u);
}

}  // namespace
}  // namespace violetusher::core
