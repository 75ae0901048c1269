// The ledger's files: one SQLite database in a folder of its own, written ahead and synced at every
// commit. Every row carries a digest of its own, so that a bit which the disk has turned is found
// where SQLite would hand it on.
#pragma once

#include <memory>
#include <string>

#include "storage.hpp"

struct sqlite3;
struct sqlite3_stmt;

namespace violetusher::ledger {

class SqliteStorage final : public Storage {
 public:
  /// Makes the folder where there is none. `read_only`: for looking at a folder whose keeper is
  /// away; nothing is written.
  explicit SqliteStorage(std::string folder, bool read_only = false);
  ~SqliteStorage() override;

  LoadResult load(Image& image, std::string& error) override;
  bool commit(const std::vector<Op>& ops) override;
  std::int64_t last_commit_us() const override { return last_commit_us_; }
  std::string fingerprint() override;
  bool quarantine() override;
  /// Why the last call failed.
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
