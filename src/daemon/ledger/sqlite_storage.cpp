#include "sqlite_storage.hpp"

#include <fcntl.h>
#include <sqlite3.h>
#include <sys/stat.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <filesystem>

#include "core/ledger/bytes.hpp"
#include "net/call_result.hpp"

namespace violetusher::ledger {
namespace {

namespace fs = std::filesystem;
using core::ledger::binary;
using core::ledger::bytes_of;
using core::ledger::digest;
using core::ledger::Json;

constexpr int kBusyTimeoutMs = 2000;  // the router's previous process may still be closing
constexpr char kDatabaseFile[] = "/ledger.db";

std::int64_t sum_of(std::string_view name, std::string_view bytes) {
  return static_cast<std::int64_t>(digest(bytes, digest(name)));
}

std::string sum_name(const LogEntry& e) {
  return std::to_string(e.index) + "/" + std::to_string(e.term) + "/" + std::to_string(e.type);
}

std::string_view blob(sqlite3_stmt* s, int column) {
  const void* bytes = sqlite3_column_blob(s, column);
  return {static_cast<const char*>(bytes),
          bytes ? static_cast<std::size_t>(sqlite3_column_bytes(s, column)) : 0};
}

void bind_blob(sqlite3_stmt* s, int at, std::string_view bytes) {
  sqlite3_bind_blob64(s, at, bytes.empty() ? "" : bytes.data(), bytes.size(), SQLITE_TRANSIENT);
}

Json json(const Meta& m) {
  return Json::array({m.identity, m.group, m.epoch, m.boot, m.voter, binary(m.fingerprint)});
}

Json json(const Snapshot& s) {
  return Json::array({s.index, s.term, s.members_index, binary(s.members), binary(s.bytes)});
}

/// Reads one named value into the image; throws if the bytes have another shape.
void read(const std::string& name, std::string_view bytes, Image& image) {
  if (name == "view") {
    image.view = bytes;
    return;
  }
  auto value = core::ledger::from_bytes(bytes);
  if (!value) throw std::runtime_error("no value");
  const Json& v = *value;
  if (name == "term") image.term = v.get<std::uint64_t>();
  if (name == "vote") image.vote = v.get<std::uint64_t>();
  if (name == "meta") image.meta = {v.at(0), v.at(1), v.at(2), v.at(3), v.at(4), bytes_of(v.at(5))};
  if (name == "snapshot")
    image.snapshot = {v.at(0), v.at(1), v.at(2), bytes_of(v.at(3)), bytes_of(v.at(4))};
}

}  // namespace

void SqliteStorage::Closer::operator()(sqlite3* db) const { sqlite3_close_v2(db); }
void SqliteStorage::Closer::operator()(sqlite3_stmt* s) const { sqlite3_finalize(s); }

SqliteStorage::SqliteStorage(std::string folder, bool read_only)
    : folder_(std::move(folder)), read_only_(read_only) {}
SqliteStorage::~SqliteStorage() = default;

bool SqliteStorage::record_error() {
  error_ = db_ ? sqlite3_errmsg(db_.get()) : "out of memory";
  return false;
}

bool SqliteStorage::execute(const char* sql) {
  return sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) == SQLITE_OK || record_error();
}

SqliteStorage::Statement SqliteStorage::prepare(const char* sql) {
  sqlite3_stmt* statement = nullptr;
  if (sqlite3_prepare_v2(db_.get(), sql, -1, &statement, nullptr) != SQLITE_OK) record_error();
  return Statement(statement);
}

bool SqliteStorage::open() {
  std::error_code error;
  if (!read_only_) fs::create_directories(folder_, error);
  sqlite3* db = nullptr;
  std::string path = folder_ + kDatabaseFile;
  int flags = read_only_ ? SQLITE_OPEN_READONLY : SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
  int opened = sqlite3_open_v2(path.c_str(), &db, flags, nullptr);
  db_.reset(db);
  if (opened != SQLITE_OK) return record_error();
  sqlite3_busy_timeout(db, kBusyTimeoutMs);
  if (read_only_) return true;
  // The database is locked exclusively while this process runs. FULL syncs the write-ahead log at
  // each commit. The log does not grow without bound: SQLite checkpoints it at 1000 pages.
  return execute("PRAGMA locking_mode=EXCLUSIVE") && execute("PRAGMA journal_mode=WAL") &&
         execute("PRAGMA synchronous=FULL") && execute("PRAGMA journal_size_limit=4194304") &&
         execute(
             "CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, term INTEGER NOT NULL,"
             " type INTEGER NOT NULL, bytes BLOB NOT NULL, sum INTEGER NOT NULL) STRICT") &&
         execute(
             "CREATE TABLE IF NOT EXISTS held (name TEXT PRIMARY KEY, bytes BLOB NOT NULL,"
             " sum INTEGER NOT NULL) STRICT");
}

/// Classifies the error of the last call. A disk error does not mean that the content is corrupt:
/// quarantining the files for one would lose acknowledged entries over, say, a loose cable.
LoadResult SqliteStorage::classify_error() const {
  switch (db_ ? sqlite3_errcode(db_.get()) & 0xff : SQLITE_NOMEM) {
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
    case SQLITE_FORMAT:
    case SQLITE_ERROR:  // the schema differs
    case SQLITE_MISMATCH:
    case SQLITE_CONSTRAINT:
      return LoadResult::kCorrupt;
    default:
      return LoadResult::kUnreadable;
  }
}

LoadResult SqliteStorage::load(Image& image, std::string& error) {
  image = Image();
  db_.reset();
  auto bad = [&](const std::string& what) {
    error = error_ = what;
    image = Image();
    return LoadResult::kCorrupt;
  };
  auto failed = [&] {
    LoadResult how = classify_error();
    bad(error_);
    return how;
  };
  if (!open()) return failed();
  Statement held = prepare("SELECT name, bytes, sum FROM held");
  if (!held) return failed();
  int step = 0;
  while ((step = sqlite3_step(held.get())) == SQLITE_ROW) {
    std::string name(blob(held.get(), 0));
    std::string_view bytes = blob(held.get(), 1);
    if (sum_of(name, bytes) != sqlite3_column_int64(held.get(), 2))
      return bad("the checksum of '" + name + "' does not match");
    try {
      read(name, bytes, image);
    } catch (const std::exception& e) {
      return bad("'" + name + "': " + e.what());
    }
  }
  if (step != SQLITE_DONE) return record_error(), failed();
  Statement log = prepare("SELECT place, term, type, bytes, sum FROM log ORDER BY place");
  if (!log) return failed();
  while ((step = sqlite3_step(log.get())) == SQLITE_ROW) {
    LogEntry e;
    e.index = static_cast<std::uint64_t>(sqlite3_column_int64(log.get(), 0));
    e.term = static_cast<std::uint64_t>(sqlite3_column_int64(log.get(), 1));
    e.type = static_cast<unsigned short>(sqlite3_column_int(log.get(), 2));
    e.bytes = blob(log.get(), 3);
    if (sum_of(sum_name(e), e.bytes) != sqlite3_column_int64(log.get(), 4))
      return bad("the checksum of log entry " + std::to_string(e.index) + " does not match");
    image.log.push_back(std::move(e));
  }
  if (step != SQLITE_DONE) return record_error(), failed();
  std::string flaw = image_error(image);
  return flaw.empty() ? LoadResult::kOk : bad(flaw);
}

bool SqliteStorage::put(std::string_view name, const std::string& bytes) {
  Statement s = prepare("INSERT OR REPLACE INTO held VALUES (?, ?, ?)");
  if (!s) return false;
  sqlite3_bind_text(s.get(), 1, name.data(), static_cast<int>(name.size()), SQLITE_TRANSIENT);
  bind_blob(s.get(), 2, bytes);
  sqlite3_bind_int64(s.get(), 3, sum_of(name, bytes));
  return sqlite3_step(s.get()) == SQLITE_DONE || record_error();
}

bool SqliteStorage::write(const Op& op) {
  auto remove = [&](const char* sql) {
    Statement s = prepare(sql);
    if (!s) return false;
    sqlite3_bind_int64(s.get(), 1, static_cast<std::int64_t>(op.number));
    return sqlite3_step(s.get()) == SQLITE_DONE || record_error();
  };
  switch (op.kind) {
    case Op::Kind::kMeta:
      return put("meta", core::ledger::to_bytes(json(op.meta)));
    case Op::Kind::kTerm:
      return put("term", core::ledger::to_bytes(op.number)) &&
             put("vote", core::ledger::to_bytes(std::uint64_t{0}));
    case Op::Kind::kVote:
      return put("vote", core::ledger::to_bytes(op.number));
    case Op::Kind::kTruncate:
      return remove("DELETE FROM log WHERE place >= ?");
    case Op::Kind::kTrim:
      return remove("DELETE FROM log WHERE place <= ?");
    case Op::Kind::kSnapshot:
      return put("snapshot", core::ledger::to_bytes(json(op.snapshot)));
    case Op::Kind::kView:
      return put("view", op.bytes);
    case Op::Kind::kAppend: {
      Statement s = prepare("INSERT INTO log VALUES (?, ?, ?, ?, ?)");
      if (!s) return false;
      sqlite3_bind_int64(s.get(), 1, static_cast<std::int64_t>(op.entry.index));
      sqlite3_bind_int64(s.get(), 2, static_cast<std::int64_t>(op.entry.term));
      sqlite3_bind_int(s.get(), 3, op.entry.type);
      bind_blob(s.get(), 4, op.entry.bytes);
      sqlite3_bind_int64(s.get(), 5, sum_of(sum_name(op.entry), op.entry.bytes));
      return sqlite3_step(s.get()) == SQLITE_DONE || record_error();
    }
  }
  return false;
}

bool SqliteStorage::commit(const std::vector<Op>& ops) {
  if (!db_ || read_only_) return false;
  auto from = std::chrono::steady_clock::now();
  bool good = execute("BEGIN IMMEDIATE");
  for (const Op& op : ops) good = good && write(op);
  good = good && execute("COMMIT");
  if (!good) {
    std::string why = error_;
    execute("ROLLBACK");
    error_ = why;
  }
  last_commit_us_ =
      std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - from)
          .count();
  return good;
}

std::string SqliteStorage::fingerprint() {
  // A file restored from a copy has another inode or creation time.
  struct statx info {};
  std::string path = folder_ + kDatabaseFile;
  int result = net::retry_interrupted(
      [&] { return ::statx(AT_FDCWD, path.c_str(), 0, STATX_INO | STATX_BTIME, &info); });
  if (result != 0) return {};
  return std::to_string(info.stx_dev_major) + ":" + std::to_string(info.stx_dev_minor) + ":" +
         std::to_string(info.stx_ino) + ":" + std::to_string(info.stx_btime.tv_sec) + "." +
         std::to_string(info.stx_btime.tv_nsec);
}

bool SqliteStorage::quarantine() {
  db_.reset();
  if (read_only_) return false;
  // Only the latest one is kept for operators, so that a disk that fails repeatedly does not fill
  // up.
  std::error_code error;
  std::string aside = folder_ + ".aside";
  fs::remove_all(aside, error);
  fs::rename(folder_, aside, error);
  if (error) error_ = error.message();
  return !error;
}

}  // namespace violetusher::ledger
