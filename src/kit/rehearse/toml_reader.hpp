// Typed access to the keys of a TOML table. Errors name the file and line, and keys that were never
// looked up are rejected as unknown.
#pragma once

#include <set>
#include <string>
#include <vector>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "day.hpp"

namespace violetusher::rehearse {

/// Throws DayError with the file, the line and `what`.
[[noreturn]] void throw_error(const std::string& file, const toml::source_region& where,
                              const std::string& what);

/// Reads one table. `default_value` is used for a key that is not there; the overloads without it
/// require the key. All getters throw DayError for a value of another type or out of range.
class TableReader {
 public:
  /// `path` is the table's name in messages, as in "tills.class[2]".
  TableReader(const toml::table& table, std::string file, std::string path)
      : table_(table), file_(std::move(file)), path_(std::move(path)) {}

  /// Does not mark the key as known.
  bool has(const char* key) const { return table_.contains(key); }
  const toml::table& table() const { return table_; }
  const std::string& file() const { return file_; }
  /// Throws a DayError about the value of `key`, or about the table as a whole.
  [[noreturn]] void fail(const char* key, const std::string& what) const;
  [[noreturn]] void fail_table(const std::string& what) const;

  std::string text(const char* key, const std::string& default_value);
  std::string text(const char* key);
  Micros duration(const char* key, Micros default_value);
  Micros duration(const char* key);
  double rate(const char* key, double default_value);
  std::uint64_t size(const char* key, std::uint64_t default_value);
  /// A fraction from 0 to 1, written as 0.05 or "5%".
  double fraction(const char* key, double default_value);
  double number(const char* key, double default_value, double low, double high);
  std::int64_t integer(const char* key, std::int64_t default_value, std::int64_t low,
                       std::int64_t high);
  bool flag(const char* key, bool default_value);
  /// A string or a list of strings; empty when absent.
  std::vector<std::string> texts(const char* key);
  std::vector<double> numbers(const char* key);
  /// The array of tables `[[key]]`; empty when absent.
  std::vector<TableReader> tables(const char* key);
  /// The subtable `[key]`; an empty table when absent.
  TableReader subtable(const char* key);
  /// Throws DayError for the first key that was never looked up.
  void reject_unknown_keys() const;

 private:
  /// Looks up `key` and marks it as known.
  const toml::node* find(const char* key);

  const toml::table& table_;
  std::string file_, path_;
  std::set<std::string> known_keys_;
};

}  // namespace violetusher::rehearse
