// Typed look-ups in one TOML table that know where things stand in the file, and that find keys
// nobody asked for.
#pragma once

#include <set>
#include <string>
#include <vector>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "day.hpp"

namespace violetusher::rehearse {

[[noreturn]] void complain(const std::string& file, const toml::source_region& where,
                           const std::string& what);

class TableReader {
 public:
  /// `path` names the table in messages, "tills.class[2]".
  TableReader(const toml::table& table, std::string file, std::string path)
      : table_(table), file_(std::move(file)), path_(std::move(path)) {}

  bool has(const char* key) const { return table_.contains(key); }
  const toml::table& table() const { return table_; }
  const std::string& file() const { return file_; }
  [[noreturn]] void bad(const char* key, const std::string& what) const;
  [[noreturn]] void bad_here(const std::string& what) const;

  std::string text(const char* key, const std::string& absent);
  std::string text(const char* key);  ///< must be there
  Micros duration(const char* key, Micros absent);
  Micros duration(const char* key);
  double rate(const char* key, double absent);
  std::uint64_t size(const char* key, std::uint64_t absent);
  /// A part of one: 0.05 or "5%".
  double part(const char* key, double absent);
  double number(const char* key, double absent, double low, double high);
  std::int64_t integer(const char* key, std::int64_t absent, std::int64_t low, std::int64_t high);
  bool flag(const char* key, bool absent);
  /// A text or a list of texts; empty where absent.
  std::vector<std::string> texts(const char* key);
  std::vector<double> numbers(const char* key);
  /// The tables of `[[key]]`, none where absent.
  std::vector<TableReader> tables(const char* key);
  /// `[key]`; an empty one where absent.
  TableReader below(const char* key);
  /// Complains of the first key that nobody asked for.
  void finish() const;

 private:
  const toml::node* find(const char* key);

  const toml::table& table_;
  std::string file_, path_;
  std::set<std::string> asked_;
};

}  // namespace violetusher::rehearse
