// The ledger's files on a real disk: commits are atomic and survive a kill, and flipped bits are
// detected.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "daemon/ledger/raft_port.hpp"
#include "daemon/ledger/sqlite_storage.hpp"

namespace violetusher::ledger {
namespace {

namespace fs = std::filesystem;

class Files : public testing::Test {
 protected:
  Files() {
    char name[] = "/tmp/violetusher-ledger-XXXXXX";
    folder_ = std::string(::mkdtemp(name)) + "/ledger";
  }
  ~Files() override { fs::remove_all(fs::path(folder_).parent_path()); }

  static Op append(std::uint64_t index, std::uint64_t term, const std::string& bytes) {
    return Op::append({index, term, RAFT_COMMAND, bytes});
  }
  Image read(SqliteStorage& storage) {
    Image image;
    std::string error;
    EXPECT_EQ(storage.load(image, error), LoadResult::kOk) << error;
    return image;
  }

  std::string folder_;
};

TEST_F(Files, CommittedDataIsReadByTheNextProcess) {
  {
    SqliteStorage storage(folder_);
    read(storage);
    Op meta = Op::of({11, 12, 13, 14, true, storage.fingerprint()});
    Op snapshot =
        Op::put({2, 1, 1, write_members({{11, "r1#11", RAFT_VOTER}}), std::string(9, '\0')});
    ASSERT_TRUE(storage.commit({meta, Op::with_number(Op::Kind::kTerm, 5),
                                Op::with_number(Op::Kind::kVote, 11), append(1, 1, "one"),
                                append(2, 1, ""), append(3, 4, "three"), append(4, 4, "four")}));
    ASSERT_TRUE(storage.commit({Op::with_number(Op::Kind::kTruncate, 4), append(4, 5, "other"),
                                snapshot, Op::with_number(Op::Kind::kTrim, 1)}));
  }
  SqliteStorage storage(folder_);
  Image image = read(storage);
  EXPECT_EQ(image.meta, (Meta{11, 12, 13, 14, true, storage.fingerprint()}));
  EXPECT_EQ(image.term, 5u);
  EXPECT_EQ(image.vote, 11u);
  ASSERT_EQ(image.log.size(), 3u);
  EXPECT_EQ(image.log[2].bytes, "other");
  EXPECT_EQ(image.log[0].index, 2u);
  ASSERT_TRUE(image.snapshot);
  EXPECT_EQ(image.snapshot->bytes.size(), 9u);
  ASSERT_TRUE(storage.commit({Op::with_number(Op::Kind::kTerm, 6)}));
  EXPECT_EQ(read(storage).vote, 0u) << "a vote belongs to its term";
}

TEST_F(Files, FailedOperationRollsBackTheWholeCommit) {
  SqliteStorage storage(folder_);
  read(storage);
  ASSERT_TRUE(storage.commit({append(1, 1, "one")}));
  EXPECT_FALSE(storage.commit({Op::with_number(Op::Kind::kTerm, 9), append(1, 1, "again")}));
  Image image = read(storage);
  EXPECT_EQ(image.term, 0u);
  EXPECT_EQ(image.log.size(), 1u);
  EXPECT_FALSE(storage.commit({append(3, 1, "gap")}) &&
               storage.load(image, folder_) == LoadResult::kOk)
      << "a log with a gap is not loaded";
}

TEST_F(Files, FlippedBitIsDetectedOrHarmless) {
  {
    SqliteStorage storage(folder_);
    read(storage);
    ASSERT_TRUE(
        storage.commit({Op::with_number(Op::Kind::kTerm, 5), append(1, 1, std::string(3000, 'a')),
                        append(2, 1, std::string(3000, 'b'))}));
  }
  std::string path = folder_ + "/ledger.db";
  std::string good;
  {
    std::ifstream in(path, std::ios::binary);
    good.assign(std::istreambuf_iterator<char>(in), {});
  }
  std::size_t found = 0, harmless = 0;
  for (std::size_t at = 0; at < good.size(); at += 61) {
    std::string bad = good;
    bad[at] = static_cast<char>(bad[at] ^ (1 << (at % 8)));
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bad;
    SqliteStorage storage(folder_);
    Image image;
    std::string error;
    if (storage.load(image, error) != LoadResult::kOk) {
      ++found;
      continue;
    }
    ++harmless;
    ASSERT_EQ(image.term, 5u) << at;
    ASSERT_EQ(image.log.size(), 2u) << at;
    ASSERT_EQ(image.log[1].bytes, std::string(3000, 'b')) << at;
  }
  EXPECT_GT(found, 60u);
  EXPECT_GT(harmless, 60u) << "in unused pages";
}

TEST_F(Files, RestoredCopyHasAnotherFingerprint) {
  std::string before;
  {
    SqliteStorage storage(folder_);
    read(storage);
    before = storage.fingerprint();
    EXPECT_FALSE(before.empty());
  }
  fs::copy(folder_, folder_ + ".copy", fs::copy_options::recursive);
  fs::remove_all(folder_);
  fs::rename(folder_ + ".copy", folder_);
  SqliteStorage storage(folder_);
  read(storage);
  EXPECT_NE(storage.fingerprint(), before);
  ASSERT_TRUE(storage.commit({Op::with_number(Op::Kind::kTerm, 5)}));
  ASSERT_TRUE(storage.quarantine());
  EXPECT_EQ(read(storage).term, 0u);
  EXPECT_TRUE(fs::exists(folder_ + ".aside/ledger.db"));
}

TEST(RaftMembers, DecodeTheLibrarysEncodingAndRejectTruncation) {
  std::vector<RaftMember> members{{7, "r1#7", RAFT_VOTER}, {9, "r2#9", RAFT_SPARE}};
  std::string bytes = write_members(members);
  auto back = read_members(bytes);
  ASSERT_EQ(back.size(), 2u);
  EXPECT_EQ(back[1].identity, 9u);
  EXPECT_EQ(back[1].address, "r2#9");
  EXPECT_EQ(back[1].role, RAFT_SPARE);
  // The library pads to a full word.
  for (std::size_t size = 0; size + 8 < bytes.size(); ++size)
    EXPECT_TRUE(read_members(bytes.substr(0, size)).empty()) << size;
}

TEST_F(Files, OpenErrorIsNotReportedAsCorruption) {
  fs::create_directories(folder_ + "/ledger.db");
  Image image;
  std::string error;
  {
    SqliteStorage storage(folder_);
    EXPECT_EQ(storage.load(image, error), LoadResult::kUnreadable);
    EXPECT_FALSE(error.empty());
    fs::remove(folder_ + "/ledger.db");
    EXPECT_EQ(storage.load(image, error), LoadResult::kOk) << error;
  }
  std::ofstream(folder_ + "/ledger.db", std::ios::trunc) << std::string(8192, 'x');
  SqliteStorage again(folder_);
  EXPECT_EQ(again.load(image, error), LoadResult::kCorrupt) << error;
}

}  // namespace
}  // namespace violetusher::ledger
