// Truncated, torn, corrupted or edited trails are detected, and the blocks that are still returned
// are the ones that were written.
#include "core/audit/trail.hpp"

#include <gtest/gtest.h>

#include <map>

namespace violetusher::core::audit {
namespace {

struct Written {
  std::string text;
  std::vector<std::string> lines;
  std::map<std::uint64_t, std::string> bodies;
  TrailPosition last;
};

Written written(int blocks, TrailPosition before = {}, const std::string& router = "r1") {
  Written w;
  w.last = before;
  for (int k = 0; k <= blocks; ++k) {
    std::string body = k == 0 ? header_body(router, before, "start")
                              : R"({"k":"did","n":)" + std::to_string(k) + "}";
    w.lines.push_back(append_block(w.last, body));
    w.bodies[w.last.number] = Json::parse(body).dump();
    w.text += w.lines.back();
  }
  return w;
}

Trail read(const std::vector<std::string>& files) {
  TrailReader reader;
  for (std::size_t k = 0; k < files.size(); ++k) reader.add_file(std::to_string(k), files[k]);
  return reader.finish();
}

/// Expects that each returned block was written, and that they are in order and unique.
void expect_true(const Trail& trail, const Written& w, const std::string& what) {
  std::uint64_t last = 0;
  for (const Block& b : trail.blocks) {
    ASSERT_GT(b.number, last) << what;
    last = b.number;
    auto at = w.bodies.find(b.number);
    ASSERT_NE(at, w.bodies.end()) << what;
    EXPECT_EQ(b.body.dump(), at->second) << what;
  }
}

TEST(Trail, ContinuesAcrossFiles) {
  Written first = written(5), second = written(3, first.last);
  Trail trail = read({first.text, second.text});
  EXPECT_EQ(trail.router, "r1");
  EXPECT_EQ(trail.blocks.size(), 10u);
  EXPECT_TRUE(trail.faults.empty());
  EXPECT_EQ(trail.last.number, 10u);
}

TEST(Trail, AnyChangedByteIsDetected) {
  Written w = written(4);
  for (std::size_t at = 0; at < w.text.size(); ++at)
    for (char flip : {'\x01', '\x20'}) {
      std::string text = w.text;
      text[at] = static_cast<char>(text[at] ^ flip);
      Trail trail = read({text});
      EXPECT_FALSE(trail.faults.empty()) << at;
      expect_true(trail, w, std::to_string(at));
      if (at >= w.lines[0].size()) EXPECT_GE(trail.blocks.size(), 2u) << at;
    }
}

TEST(Trail, RemovedDuplicatedOrSwappedLinesAreDetected) {
  Written w = written(6);
  for (std::size_t k = 1; k + 1 < w.lines.size(); ++k) {
    auto out = w.lines, twice = w.lines, swapped = w.lines;
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(k));
    twice.insert(twice.begin() + static_cast<std::ptrdiff_t>(k), w.lines[k]);
    std::swap(swapped[k], swapped[k + 1]);
    for (const auto& lines : {out, twice, swapped}) {
      std::string text;
      for (const std::string& line : lines) text += line;
      Trail trail = read({text});
      EXPECT_FALSE(trail.faults.empty()) << k;
      expect_true(trail, w, std::to_string(k));
    }
  }
}

TEST(Trail, TornEndIsReportedAndTheNextFileIsRead) {
  Written w = written(4);
  for (std::size_t size = 0; size < w.text.size(); ++size) {
    std::string text = w.text.substr(0, size);
    bool whole = !text.empty() && text.back() == '\n';
    Trail trail = read({text});
    EXPECT_EQ(trail.faults.empty(), whole) << size;
    expect_true(trail, w, std::to_string(size));
    auto end = last_position_in(text);
    if (!end) continue;
    Written next = written(2, *end);
    Trail both = read({text, next.text});
    EXPECT_EQ(both.blocks.size(), trail.blocks.size() + 3) << size;
    EXPECT_EQ(both.faults.size(), trail.faults.size()) << size;
  }
}

TEST(Trail, MissingOrForeignFileIsDetected) {
  Written a = written(3), b = written(3, a.last), c = written(3, b.last);
  Trail gone = read({a.text, c.text});
  ASSERT_EQ(gone.faults.size(), 1u);
  EXPECT_EQ(gone.faults[0].kind, Fault::Kind::kMissing);
  EXPECT_EQ(gone.faults[0].from, 5u);
  EXPECT_EQ(gone.faults[0].to, 8u);
  // Deleting the oldest files by size and age is not a fault.
  EXPECT_TRUE(read({b.text, c.text}).faults.empty());
  Trail others = read({a.text, written(3, a.last, "r2").text});
  ASSERT_EQ(others.faults.size(), 1u);
  EXPECT_EQ(others.faults[0].kind, Fault::Kind::kForeign);
  EXPECT_EQ(others.blocks.size(), 4u);
  Trail rewritten = read({a.text, written(3, TrailPosition{4, 77}).text});
  ASSERT_EQ(rewritten.faults.size(), 1u);
  EXPECT_EQ(rewritten.faults[0].kind, Fault::Kind::kForeign);
}

/// Positions held by other routers detect what the trail's own sums can't: a truncated end, and a
/// trail that was rewritten with recomputed sums.
TEST(Trail, TruncationAndRewriteAreDetectedByPositionsHeldElsewhere) {
  Written w = written(6);
  std::vector<TrailPosition> positions;
  TrailPosition position;
  for (const auto& [number, body] : w.bodies) {
    append_block(position, body);
    positions.push_back(position);
  }
  Trail whole = read({w.text}),
        cut = read({w.text.substr(0, w.text.size() - w.lines.back().size())});
  EXPECT_TRUE(cut.faults.empty());
  for (const TrailPosition& m : positions) {
    ASSERT_EQ(parse_position(format_position(m))->sum, m.sum);
    EXPECT_FALSE(compare_with_position(whole, m)) << m.number;
  }
  ASSERT_TRUE(compare_with_position(cut, positions.back()));
  EXPECT_EQ(compare_with_position(cut, positions.back())->kind, Fault::Kind::kTruncated);
  Written anew;
  for (const auto& [number, body] : w.bodies)
    anew.text += append_block(anew.last, number == 4 ? R"({"k":"did","n":99})" : body);
  Trail forged = read({anew.text});
  EXPECT_TRUE(forged.faults.empty());
  EXPECT_FALSE(compare_with_position(forged, positions[2]));
  ASSERT_TRUE(compare_with_position(forged, positions[5]));
  EXPECT_EQ(compare_with_position(forged, positions[5])->kind, Fault::Kind::kRewritten);
  // Blocks that were deleted with the oldest files are not a fault.
  EXPECT_FALSE(compare_with_position(read({written(2, w.last).text}), positions[2]));
  for (const char* none : {"", ":", "1", "0:0000000000000000", "1:0", "x:0000000000000001",
                           "1:000000000000000G", "1:0000000000000001 "})
    EXPECT_FALSE(parse_position(none)) << none;
}

TEST(Trail, AnyBytesAreReadAsFaults) {
  Written w = written(2);
  for (const char* text : {"", "\n", "\n\n\n", "0 1 {}\n", "0000000000000000 1 {}\n",
                           "ffffffffffffffff 99999999999999999999 {}\n", "a b c d\n{}\n"}) {
    EXPECT_FALSE(read({text}).faults.empty());
    Trail after = read({w.text, text, written(1, w.last).text});
    EXPECT_EQ(after.blocks.size(), 5u) << text;
    EXPECT_FALSE(after.faults.empty()) << text;
  }
}

}  // namespace
}  // namespace violetusher::core::audit
