// The share of keys that a new version of an operator file moves.
#include "core/config/moved_keys.hpp"

#include <gtest/gtest.h>

namespace violetusher::core::config {
namespace {

Model model_of(const std::string& text) {
  auto compiled = compile("f", "version 1;\n" + text, [](const std::string&, const std::string&) {
    return Loaded{"", "", "none"};
  });
  for (const auto& d : compiled.diagnostics.list()) ADD_FAILURE() << compiled.sources.show(d);
  return compiled.model;
}

/// Ten servers, five in each zone.
std::vector<Server> servers() {
  std::vector<Server> list;
  for (int k = 0; k < 10; ++k) {
    Server s;
    s.id = "s-" + std::to_string(k);
    s.zone = k < 5 ? "bole" : "kality";
    list.push_back(s);
  }
  return list;
}

constexpr int kKeys = 4000;
const std::string kAll = "pool p { }\nroute r { pool = p; }\n";

TEST(MovedKeys, NoKeysMoveWithTheSameFileOrRenamedSections) {
  EXPECT_TRUE(moved_keys(model_of(kAll), model_of(kAll), servers(), kKeys).empty());
  EXPECT_TRUE(moved_keys(model_of(kAll), model_of("pool other { }\nroute x { pool = other; }\n"),
                         servers(), kKeys)
                  .empty());
}

TEST(MovedKeys, OnlyKeysOfRemovedServersMove) {
  auto moved =
      moved_keys(model_of(kAll), model_of("pool p { halls = [bole]; }\nroute r { pool = p; }\n"),
                 servers(), kKeys);
  ASSERT_EQ(moved.size(), 1u);
  // A key of a removed server goes to the next live server of its sequence; all other keys stay.
  EXPECT_NEAR(moved[0].share, 0.5, 0.1);
  EXPECT_EQ(moved[0].nobody, 0);
  std::vector<Server> one_less = servers();
  one_less.pop_back();
  auto homes = moved_keys(model_of(kAll),
                          model_of("pool p { hosts = [\"s-0\", \"s-1\", \"s-2\", "
                                   "\"s-3\", \"s-4\", \"s-5\", \"s-6\", \"s-7\", "
                                   "\"s-8\"]; }\nroute r { pool = p; }\n"),
                          servers(), kKeys);
  ASSERT_EQ(homes.size(), 1u);
  EXPECT_NEAR(homes[0].share, 0.1, 0.05);
}

TEST(MovedKeys, AllKeysMoveToADisjointPoolOrToNoServer) {
  auto split = model_of(
      "class a { attempts = 1; }\npool p { halls = [bole]; }\npool q { halls = [kality]; }\n"
      "route r { pool = p; }\nroute s { class = a; pool = q; }\n");
  auto joined =
      model_of("class a { attempts = 1; }\npool p { halls = [bole]; }\nroute r { pool = p; }\n");
  auto moved = moved_keys(split, joined, servers(), kKeys);
  ASSERT_EQ(moved.size(), 1u);
  EXPECT_EQ(moved[0].match.type, "a");
  EXPECT_EQ(moved[0].before, "q");
  EXPECT_EQ(moved[0].after, "p");
  EXPECT_EQ(moved[0].share, 1);
  auto nobody = moved_keys(
      joined, model_of("pool p { halls = [nowhere]; }\nroute r { pool = p; }\n"), servers(), kKeys);
  ASSERT_EQ(nobody.size(), 1u);
  EXPECT_EQ(nobody[0].nobody, 1);
}

TEST(MovedKeys, DrainingServersGetNoKeys) {
  auto list = servers();
  for (auto& s : list)
    if (s.zone == "bole") s.health = Health::Draining;
  EXPECT_TRUE(moved_keys(model_of(kAll),
                         model_of("pool p { halls = [kality]; }\nroute r { pool = p; }\n"), list,
                         kKeys)
                  .empty());
}

}  // namespace
}  // namespace violetusher::core::config
