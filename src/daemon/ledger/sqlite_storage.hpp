// The ledger's files: one SQLite database in its own folder, with write-ahead logging and a sync at
// every commit. Each row carries a digest, which detects flipped bits that SQLite would not notice.
#pragma once

#include <memory>
#include <string>

#include "storage.hpp"

struct sqlite3;
struct sqlite3_stmt;

namespace violetusher::ledger {

/// Storage in a SQLite database.
class SqliteStorage final : public Storage {
 public:
  /// Creates the folder if needed. `read_only`: to inspect the folder of a stopped router; nothing
  /// is written.
  explicit SqliteStorage(std::string folder, bool read_only = false);
  ~SqliteStorage() override;

  LoadResult load(Image& image, std::string& error) override;
  bool commit(const std::vector<Op>& ops) override;
  std::int64_t last_commit_us() const override { return last_commit_us_; }
  std::string fingerprint() override;
  bool quarantine() override;
  /// The error of the last failed call.
  const std::string& error() const { return error_; }

 private:
  struct Closer {
    void operator()(sqlite3* db) const;
    void operator()(sqlite3_stmt* statement) const;
  };
  using Statement = std::unique_ptr<sqlite3_stmt, Closer>;
  bool open();
  bool execute(const char* sql);
  Statement prepare(const char* sql);
  bool put(std::string_view name, const std::string& bytes);
  bool write(const Op& op);
  bool record_error();
  LoadResult classify_error() const;

  std::string folder_, error_;
  bool read_only_;
  std::int64_t last_commit_us_ = 0;
  std::unique_ptr<sqlite3, Closer> db_;
};

}  // namespace violetusher::ledger
