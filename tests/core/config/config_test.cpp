// The operator file language: a corpus of invalid files and their messages, properties of formatter
// and diff, and fuzzed input.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "core/config/diff.hpp"
#include "core/config/model.hpp"
#include "core/config/schema.hpp"

namespace violetusher::core::config {
namespace {

namespace fs = std::filesystem;

std::string contents(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

Loaded from_corpus(const std::string&, const std::string& name) {
  fs::path path = fs::path(VIOLETUSHER_CORPUS) / name;
  if (fs::is_directory(path)) return {name, "", "is a directory"};
  if (!fs::exists(path)) return {name, "", "No such file or directory"};
  return {name, contents(path), ""};
}

Loaded nothing(const std::string&, const std::string& name) { return {name, "", "there is none"}; }

std::vector<std::string> broken_files() {
  std::vector<std::string> names;
  for (const auto& entry : fs::directory_iterator(VIOLETUSHER_CORPUS))
    if (entry.path().extension() == ".conf") names.push_back(entry.path().stem());
  std::sort(names.begin(), names.end());
  return names;
}

TEST(Corpus, EachInvalidFileGivesExactlyItsMessages) {
  auto names = broken_files();
  EXPECT_GE(names.size(), 120u);
  for (const std::string& name : names) {
    fs::path path = fs::path(VIOLETUSHER_CORPUS) / (name + ".conf");
    Compiled c = compile(name + ".conf", contents(path), from_corpus);
    std::string got;
    for (const Diagnostic& d : c.diagnostics.list()) {
      got += c.sources.brief(d) + "\n";
      // The full message has a caret and contains no NUL byte.
      std::string shown = c.sources.show(d);
      EXPECT_NE(shown.find('^'), shown.npos);
      EXPECT_LT(shown.size(), 1500u) << name;
      EXPECT_EQ(shown.find('\0'), shown.npos) << name;
    }
    EXPECT_EQ(got, contents(fs::path(VIOLETUSHER_CORPUS) / (name + ".expected"))) << name;
    EXPECT_FALSE(c.diagnostics.none()) << name;
  }
}

TEST(Show, CaretMarksThePositionOfTheError) {
  Compiled c = compile("f.conf", "version 1;\npool main { }\nroute r { pool = mian; }\n", nothing);
  ASSERT_EQ(c.diagnostics.list().size(), 1u);
  EXPECT_EQ(c.sources.show(c.diagnostics.list()[0]),
            "f.conf:3:18: pool 'mian' is not defined\n"
            "  route r { pool = mian; }\n"
            "                   ^~~~\n"
            "  did you mean 'main'?\n");
}

TEST(Compile, ReadsAllSectionsIntoTheModel) {
  Compiled c =
      compile("f",
              "version 1;\nclass c { attempts = 4; keyed = on; }\ntenant a { }\ntenant b { }\n"
              "limit l { rate = 1.5/ms; in_flight = 7; come_back = 0.25s; }\nbudget g { retries = "
              "12.5%; floor = 3/s; }\n"
              "pool p { halls = [kality, bole]; hosts = [\"pc-*\"]; blocks = [2, 1]; limit = l; "
              "shares { a = 56%; b = 44%; } }\n"
              "pool q { servers = [\"127.0.0.1:80\"]; }\n"
              "route r { class = c; prefix = \"x\"; pool = p; fallbacks = [q]; spill = 30%; budget "
              "= g; }\n",
              nothing);
  for (const auto& d : c.diagnostics.list()) ADD_FAILURE() << c.sources.show(d);
  EXPECT_EQ(c.model.limits.at("l"), (Limit{1500, 150, 7, 250'000}));
  EXPECT_EQ(c.model.budgets.at("g"), (Budget{0.125, 0, 3}));
  EXPECT_EQ(c.model.pools.at("p").zones, (std::vector<std::string>{"bole", "kality"}));
  EXPECT_EQ(c.model.pools.at("p").blocks, (std::vector<std::int64_t>{1, 2}));
  EXPECT_DOUBLE_EQ(c.model.pools.at("p").shares.at("a"), 0.56);
  EXPECT_EQ(c.model.routes.at("r").fallbacks, std::vector<std::string>{"q"});
  EXPECT_TRUE(c.model.classes.at("c").keyed);
}

/// Generates files of pools, limits and routes that are always valid. Each draw is a statement of
/// its own, those of a section from its end to its start: C++ leaves open in which order the
/// operands of `+` and the arguments of a call are evaluated, and a seed has to name one file.
class FileGenerator {
 public:
  FileGenerator(std::mt19937_64& random, bool spaces) : random_(random), spaces_(spaces) {}

  std::string file() {
    listener();
    for (const char* name : {"lookup", "sale"}) request_class(name);
    for (const char* name : {"selam", "koket"})
      add(std::string("tenant ") + name + " {" + gap() + "}");
    for (int k = 0; k < 3; ++k) limit(std::to_string(k));
    for (int k = 0; k < 3; ++k) pool(std::to_string(k));
    for (int k = 0; k < 6; ++k) route(std::to_string(k));
    std::shuffle(sections_.begin(), sections_.end(), random_);
    std::string text = "version 1;\n";
    for (const std::string& section : sections_) text += section;
    return text;
  }

 private:
  std::size_t pick(std::size_t n) { return static_cast<std::size_t>(random_() % n); }
  std::string number(std::size_t least, std::size_t count) {
    return std::to_string(least + pick(count));
  }
  std::string gap() {
    if (!spaces_ || pick(3) != 0) return " ";
    if (pick(2)) return "  \n";
    return " # c" + number(0, 9) + "\n";
  }
  void add(const std::string& section) { sections_.push_back(section + "\n"); }

  void listener() {
    std::string port = number(1, 60000);
    add("listener side" + gap() + "{ address = \"127.0.0.1:" + port + "\"; }");
  }
  void request_class(const std::string& name) {
    std::string attempts = number(2, 4);
    add("class " + name + " {" + gap() + "attempts = " + attempts + "; }");
  }
  void limit(const std::string& name) {
    std::string come_back = number(1, 2000);
    std::string before_come_back = gap();
    std::string unit = pick(2) ? "/s" : "/ms";
    std::string rate = number(1, 500);
    add("limit l" + name + " {" + gap() + "rate = " + rate + unit + ";" + before_come_back +
        "come_back = " + come_back + "ms; }");
  }
  void pool(const std::string& name) {
    std::string zones = pick(2) ? "bole," + gap() + "kality" : "piassa";
    add("pool p" + name + " {" + gap() + "halls = [" + zones + "]; }");
  }
  void route(const std::string& name) {
    static const char* const kClasses[] = {"", "class = lookup;", "class = sale;"};
    static const char* const kTenants[] = {"", "tenant = selam;", "tenant = koket;"};
    static const char* const kPrefixes[] = {"", "prefix = \"a\";", "prefix = \"ab\";",
                                            "prefix = \"b\";"};
    std::size_t a = pick(3), b = pick(3), c = pick(4), d = pick(2);
    if (!used_.insert(((a * 3 + b) * 4 + c) * 2 + d).second) return;
    std::string limit = pick(2) ? " limit = l" + number(0, 3) + ";" : "";
    std::string text = kPrefixes[c] + (" pool = p" + number(0, 3)) + ";" + limit + " }";
    text = gap() + text;
    text = gap() + kTenants[b] + text;
    text = gap() + kClasses[a] + text;
    add("route r" + name + " {" + gap() + (d ? "listener = side;" : "") + text);
  }

  std::mt19937_64& random_;
  bool spaces_;
  std::vector<std::string> sections_;
  std::set<std::size_t> used_;  // matches that have a route
};

std::string generated(std::mt19937_64& random, bool spaces) {
  return FileGenerator(random, spaces).file();
}

/// Guards against draws whose order the compiler chooses: x86-64 and arm64 once played other files.
TEST(Fuzz, ASeedNamesTheSameFileOnEveryMachine) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;  // FNV-1a
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    std::mt19937_64 random(seed);
    for (unsigned char c : generated(random, true)) hash = (hash ^ c) * 0x100000001b3ULL;
  }
  EXPECT_EQ(hash, 10986140425982456119u);
}

Compiled good(const std::string& text) {
  Compiled c = compile("g", text, nothing);
  for (const auto& d : c.diagnostics.list()) ADD_FAILURE() << c.sources.show(d) << text;
  return c;
}

RC_GTEST_PROP(Format, IsIdempotentAndKeepsTheMeaning, (std::uint64_t seed)) {
  std::mt19937_64 random(seed);
  std::string text = generated(random, true);
  Compiled before = good(text);
  std::string once = format(before.trees[0]);
  Compiled after = good(once);
  RC_ASSERT(before.model == after.model);
  RC_ASSERT(format(after.trees[0]) == once);
  RC_ASSERT(std::count(text.begin(), text.end(), '#') == std::count(once.begin(), once.end(), '#'));
}

RC_GTEST_PROP(Diff, OfAFileWithItselfIsEmpty, (std::uint64_t seed)) {
  std::mt19937_64 random(seed);
  Model m = good(generated(random, false)).model;
  RC_ASSERT(diff(m, m).empty());
}

/// Each request whose routing differs is covered by a reported change.
RC_GTEST_PROP(Diff, IsComplete, (std::uint64_t seed)) {
  std::mt19937_64 random(seed);
  Model a = good(generated(random, false)).model, b = good(generated(random, false)).model;
  auto changes = diff(a, b);
  Routing before(a), after(b);
  for (const char* listener : {"", "side"})
    for (const char* tenant : {"", "selam", "koket", "other"})
      for (const char* type : {"", "lookup", "sale"})
        for (const char* key : {"", "a", "abc", "ab", "b", "bcd", "z"}) {
          RouteRequest r{listener, tenant, type, key};
          if (effect_of(a, before.find(r)) == effect_of(b, after.find(r))) continue;
          bool covered = std::any_of(changes.begin(), changes.end(), [&](const Change& c) {
            return c.kind == "route" &&
                   (c.match.listener.empty() || c.match.listener == listener) &&
                   (c.match.tenant.empty() || c.match.tenant == tenant) &&
                   (c.match.type.empty() || c.match.type == type) &&
                   std::string_view(key).starts_with(c.match.prefix);
          });
          RC_ASSERT(covered);
        }
}

TEST(Diff, RenamesAndReorderingsChangeNothing) {
  Model a = good(
                "version 1;\nlimit x { rate = 60/s; }\npool main { limit = x; }\nroute r { pool = "
                "main; }\n")
                .model;
  Model b = good(
                "version 1;\nroute all { pool = every; }\npool every { limit = y; }\nlimit y { "
                "rate = 60/s; }\n")
                .model;
  EXPECT_TRUE(diff(a, b).empty());
  b.limits["y"].rate = 70;
  auto changes = diff(a, b);
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].subject, "all requests");
  EXPECT_NE(changes[0].what.find("70/s"), std::string::npos);
}

TEST(Explain, DescribesTheRouteStepByStep) {
  Model m = good(
                "version 1;\nclass c { attempts = 2; }\npool p { }\npool q { halls = [bole]; }\n"
                "route one { class = c; prefix = \"bar\"; pool = q; }\nroute rest { pool = p; }\n")
                .model;
  std::string text = explain(m, {"", "", "c", "barcode"});
  EXPECT_EQ(text,
            "routes of class c: 'one' by prefix \"bar\"\npool 'q': halls bole; limit none; budget "
            "none\n");
  text = explain(m, {"", "", "c", "x"});
  EXPECT_EQ(
      text.rfind("routes of class c: none with a matching prefix\nroutes of anybody: 'rest'\n", 0),
      0u)
      << text;
}

TEST(Bounds, OversizedAndDeeplyNestedFilesAreRejectedWithAMessage) {
  Compiled c = compile("big", std::string(kMaxTotalBytes + 1, ' '), nothing);
  EXPECT_EQ(c.diagnostics.list().at(0).what, "the file is larger than 16 MiB");
  c = compile("rubbish", std::string(10u << 20, '{'), nothing);
  EXPECT_LE(c.diagnostics.list().size(), Diagnostics::kMaxShown);
  EXPECT_FALSE(c.diagnostics.none());
  c = compile("brackets", "version 1;\n" + std::string(10u << 20, '['), nothing);
  EXPECT_FALSE(c.diagnostics.none());
  std::string pools = "version 1;\n";
  for (int k = 0; k < 10'000; ++k)
    pools += "pool p" + std::to_string(k) + " { hosts = [\"pc-" + std::to_string(k) + "\"]; }\n";
  c = compile("pools", pools, nothing);
  EXPECT_TRUE(c.diagnostics.none());
  EXPECT_EQ(c.model.pools.size(), 10'000u);
  // A long chain of files, each of which includes the next.
  c = compile("f0", "version 1;\ninclude \"f1\";\n",
              [](const std::string&, const std::string& name) {
                int n = std::stoi(name.substr(1));
                return Loaded{name, "include \"f" + std::to_string(n + 1) + "\";\n", ""};
              });
  ASSERT_EQ(c.diagnostics.list().size(), 1u);
  EXPECT_EQ(c.diagnostics.list()[0].what, "includes nested more than 16 deep");
}

TEST(Fuzz, MutatedFilesCompileOrGiveDiagnostics) {
  std::mt19937_64 random(20261201);
  std::string seeds;
  int good_ones = 0;
  for (int k = 0; k < 4000; ++k) {
    std::mt19937_64 maker(static_cast<std::uint64_t>(k % 50));
    std::string text = generated(maker, true);
    for (std::size_t n = 1 + random() % 4; n-- > 0;) {
      std::size_t at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, 1 + random() % 20);
          break;
        case 2:
          text.insert(at, 1, "{}[]=;,\"#%/\\"[random() % 12]);
          break;
        default: {
          std::size_t size = random() % 30;
          std::size_t from = random() % text.size();
          text.insert(at, text.substr(from, size));
        }
      }
      if (text.empty()) text = " ";
    }
    Compiled c = compile("f", text, nothing);
    if (c.diagnostics.none()) {
      ++good_ones;
      std::string once = format(c.trees[0]);
      Compiled again = compile("f", once, nothing);
      ASSERT_TRUE(again.diagnostics.none()) << text << "\n---\n" << once;
      ASSERT_TRUE(again.model == c.model) << text << "\n---\n" << once;
    }
    for (const auto& d : c.diagnostics.list()) {
      ASSERT_GE(d.at.line, 1u);
      ASSERT_FALSE(c.sources.show(d).empty());
    }
  }
  EXPECT_GT(good_ones, 50);
}

RC_GTEST_PROP(Quantities, ParseBackAsFormatted, ()) {
  for (Type type :
       {Type::kDuration, Type::kSize, Type::kRate, Type::kPercent, Type::kShare, Type::kInteger}) {
    double quantity = *rc::gen::inRange<std::int64_t>(0, 100'000'000'000);
    if (type == Type::kPercent) quantity /= 1e11;
    if (type == Type::kRate || type == Type::kShare) quantity /= 1024;
    double back = -1;
    RC_ASSERT(parse_quantity(type, format_quantity(type, quantity), back));
    RC_ASSERT(std::abs(back - quantity) <= quantity * 1e-12);
  }
}

}  // namespace
}  // namespace violetusher::core::config
