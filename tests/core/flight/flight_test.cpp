// The recorder's ring and its reader: whatever happens to the bytes, only records that were written
// are read.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstring>
#include <random>

#include "core/flight/timeline.hpp"

namespace violetusher::core::flight {
namespace {

/// A ring in memory, and the records that were put into it.
struct Written {
  explicit Written(std::size_t blocks, std::uint64_t count, std::uint64_t seed = 1)
      : memory((blocks + 1) * kBlockBytes / 8), ring(bytes(), "r1", 42, 1'000) {
    std::mt19937_64 draws(seed);
    for (std::uint64_t k = 0; k < count; ++k) {
      Record r;
      r.at = 2'000 + static_cast<Micros>(k);
      r.request = draws() % 50 + 1;
      r.kind = static_cast<Kind>(draws() % kMaxKind + 1);
      r.attempt = static_cast<std::int16_t>(draws() % 4);
      r.value = static_cast<std::int64_t>(draws() % 1000);
      std::string text = "s-" + std::to_string(draws() % 9);
      std::memcpy(r.text, text.data(), text.size());
      ring.put(r);
      records.push_back(r);
    }
  }
  std::span<std::byte> bytes() {
    return {reinterpret_cast<std::byte*>(memory.data()), memory.size() * 8};
  }
  std::vector<std::uint64_t> memory;
  Ring ring;
  std::vector<Record> records;
};

bool same(const Record& a, const Record& b) {
  Record x = a, y = b;
  x.check = y.check = 0;
  return std::memcmp(&x, &y, sizeof x) == 0;
}

/// Checks that every record read was written, in order.
void expect_part_of(const std::vector<Record>& read, const std::vector<Record>& written) {
  std::size_t at = 0;
  for (const Record& r : read) {
    while (at < written.size() && !same(written[at], r)) ++at;
    ASSERT_LT(at, written.size());
    ++at;
  }
}

TEST(Ring, KeepsTheLatestRecordsWhenFull) {
  rc::check("the last whole blocks are read back", [] {
    auto blocks = *rc::gen::inRange<std::size_t>(2, 6);
    auto count = *rc::gen::inRange<std::uint64_t>(0, 1000);
    Written w(blocks, count, *rc::gen::inRange<std::uint64_t>(1, 1u << 30));
    Recording got;
    std::string error;
    RC_ASSERT(read_recording(w.bytes(), got, error));
    RC_ASSERT(got.problems.empty());
    RC_ASSERT(got.overwritten == w.ring.overwritten());
    RC_ASSERT(got.records.size() + got.overwritten == count);
    for (std::size_t k = 0; k < got.records.size(); ++k)
      RC_ASSERT(same(got.records[k], w.records[k + got.overwritten]));
  });
}

TEST(Ring, ARingSmallerThanOneRequestIsReadable) {
  Written w(2, 0);
  Recorder recorder;
  recorder.attach(&w.ring);
  recorder.record(10, Kind::kReceived, 7, -1, 0, 500, "a");
  for (int k = 0; k < 400; ++k) recorder.record(11 + k, Kind::kSent, 7, k % 4, 1, 0, "s-0");
  recorder.record(500, Kind::kAnswered, 7);
  Recording got;
  std::string error;
  ASSERT_TRUE(read_recording(w.bytes(), got, error));
  auto lines = timelines(got);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_FALSE(lines[0].whole);
  EXPECT_EQ(lines[0].end, Kind::kAnswered);
  EXPECT_GT(got.overwritten, 0u);
}

TEST(Reader, ARecordingTruncatedAtAnyByteIsReadAsFarAsIntact) {
  Written w(3, 150);
  for (std::size_t size = 0; size <= w.bytes().size(); ++size) {
    Recording got;
    std::string error;
    bool read = read_recording(w.bytes().first(size), got, error);
    EXPECT_EQ(read, size >= sizeof(FileHeader)) << size;
    EXPECT_EQ(read, error.empty());
    if (!read) continue;
    ASSERT_NO_FATAL_FAILURE(expect_part_of(got.records, w.records)) << size;
    bool whole = got.records.size() == w.records.size();
    EXPECT_TRUE(whole || !got.problems.empty())
        << size << ": records are missing and no problem is reported";
  }
}

TEST(Reader, FlippedBitsAreReportedAndNoCorruptRecordIsRead) {
  Written w(3, 170);
  std::mt19937_64 draws(20261201);
  int reported_count = 0, tries = 4'000;
  for (int k = 0; k < tries; ++k) {
    std::vector<std::uint64_t> copy = w.memory;
    std::span<std::byte> bytes{reinterpret_cast<std::byte*>(copy.data()), copy.size() * 8};
    std::size_t bit = draws() % (bytes.size() * 8);
    bytes[bit / 8] ^= std::byte{1} << (bit % 8);
    Recording got;
    std::string error;
    if (!read_recording(bytes, got, error)) {
      EXPECT_LT(bit / 8, sizeof(FileHeader));
      ++reported_count;
      continue;
    }
    std::size_t missing = 0, at = 0;
    for (const Record& r : w.records)
      if (at < got.records.size() && same(got.records[at], r))
        ++at;
      else
        ++missing;
    // After the last record there are zeros: a flip there looks like a torn record at most.
    EXPECT_EQ(at, got.records.size()) << "bit " << bit << ": a record that was never written";
    EXPECT_TRUE(missing == 0 || !got.problems.empty()) << "bit " << bit;
    reported_count += !got.problems.empty();
  }
  EXPECT_GT(reported_count, tries / 4);
}

TEST(Reader, OtherFilesAndVersionsAreRejected) {
  Written w(2, 5);
  Recording got;
  std::string error;
  auto bytes = w.bytes();
  bytes[8] = std::byte{2};
  EXPECT_FALSE(read_recording(bytes, got, error));
  EXPECT_EQ(error, "a recording of version 2; this program reads version 1");
  bytes[0] ^= std::byte{1};
  EXPECT_FALSE(read_recording(bytes, got, error));
  EXPECT_EQ(error, "not a recording of the flight recorder");
}

TEST(Reader, SurvivesArbitraryBytes) {
  std::mt19937_64 draws(7);
  for (int k = 0; k < 2'000; ++k) {
    Written w(2, draws() % 150, draws());
    auto bytes = w.bytes();
    // Corrupt records with valid checksums too, which the code after the reader must not trust.
    for (std::uint64_t n = draws() % 20; n > 0; --n) {
      std::uint64_t place = kRecordsPerBlock + draws() % 20;
      Record r;
      std::uint64_t junk[8];
      for (auto& word : junk) word = draws();
      std::memcpy(&r, junk, sizeof r);
      r.kind = static_cast<Kind>(draws() % (kMaxKind + 1));
      r.why = static_cast<Reason>(draws() % (kMaxReason + 1));
      if (draws() % 2)
        r.request = draws() % 3, r.attempt = static_cast<std::int16_t>(draws() % 200);
      r.check = checksum_of(r, place);
      std::memcpy(
          bytes.data() + kBlockBytes + sizeof(BlockHeader) + (place - kRecordsPerBlock) * sizeof r,
          &r, sizeof r);
    }
    Recording got;
    std::string error;
    ASSERT_TRUE(read_recording(bytes, got, error));
    auto lines = timelines(got);
    stats_of(got, lines);
    for (const auto& line : lines) line.parts();
  }
}

/// A request queued behind another on a connection: the breakdown shows it and adds up.
TEST(Timeline, BreaksDownTheTimeOfARequest) {
  Written w(2, 0);
  Recorder recorder;
  recorder.attach(&w.ring);
  auto ok = static_cast<std::int64_t>(Status::Ok);
  recorder.record(0, Kind::kReceived, 1, -1, 0, 900, "first");
  recorder.record(10, Kind::kSent, 1, 0, 5, 0, "s-0");
  recorder.record(20, Kind::kWritten, 1, 0, 5);
  recorder.record(100, Kind::kReceived, 2, -1, 0, 900, "second");
  recorder.record(110, Kind::kSent, 2, 0, 5, 1, "s-0");  // queued behind the first on connection 5
  recorder.record(130, Kind::kWritten, 2, 0, 5);
  recorder.record(400, Kind::kEnd, 1, 0, 0, ok, "s-0");
  recorder.record(400, Kind::kAnswered, 1);
  recorder.record(500, Kind::kEnd, 2, 0, 0, ok, "s-0");
  recorder.record(505, Kind::kAnswered, 2);
  Recording got;
  std::string error;
  ASSERT_TRUE(read_recording(w.bytes(), got, error));
  auto lines = timelines(got);
  ASSERT_EQ(lines.size(), 2u);
  TimeBreakdown p = lines[1].parts();
  EXPECT_EQ(p.router, 15);  // before it was sent, and after its end
  EXPECT_EQ(p.connecting, 20);
  EXPECT_EQ(p.behind, 270);  // until the first had ended
  EXPECT_EQ(p.serving, 100);
  EXPECT_EQ(p.total(), lines[1].took());
  EXPECT_STREQ(p.largest(), "behind others");
  EXPECT_EQ(lines[0].parts().behind, 0);
}

TEST(Timeline, PartsAddUpForOverlappingAttempts) {
  rc::check("the parts of a request are its time", [] {
    Timeline line;
    line.taken = 1'000, line.answered = 1'000 + *rc::gen::inRange<Micros>(1, 2'000);
    auto count = *rc::gen::inRange(0, 5);
    for (int k = 0; k < count; ++k) {
      AttemptTimeline a;
      a.sent = 1'000 + *rc::gen::inRange<Micros>(0, 2'000);
      a.written = a.sent + *rc::gen::inRange<Micros>(0, 300);
      a.head = a.written + *rc::gen::inRange<Micros>(-100, 600);
      a.ended = *rc::gen::arbitrary<bool>() ? a.written + *rc::gen::inRange<Micros>(0, 900) : 0;
      if (a.ended) RC_ASSERT(a.connecting() + a.behind() + a.serving() == a.ended - a.sent);
      line.attempts.push_back(a);
    }
    RC_ASSERT(line.parts().total() == line.took());
  });
}

}  // namespace
}  // namespace violetusher::core::flight
