#include "toml_reader.hpp"

#include <cmath>

#include "kit/common/units.hpp"

namespace violetusher::rehearse {

void throw_error(const std::string& file, const toml::source_region& where,
                 const std::string& what) {
  throw DayError(file + ":" + std::to_string(where.begin.line) + ": " + what);
}

void TableReader::fail(const char* key, const std::string& what) const {
  const toml::node* node = table_.get(key);
  std::string name = path_.empty() ? key : path_ + "." + key;
  throw_error(file_, node ? node->source() : table_.source(), name + ": " + what);
}

void TableReader::fail_table(const std::string& what) const {
  throw_error(file_, table_.source(), (path_.empty() ? "" : path_ + ": ") + what);
}

const toml::node* TableReader::find(const char* key) {
  known_keys_.insert(key);
  return table_.get(key);
}

std::string TableReader::text(const char* key, const std::string& default_value) {
  const toml::node* node = find(key);
  if (!node) return default_value;
  if (auto value = node->value_exact<std::string>()) return *value;
  fail(key, "expected a string in quotes");
}

std::string TableReader::text(const char* key) {
  if (!find(key)) fail(key, "missing");
  return text(key, "");
}

Micros TableReader::duration(const char* key, Micros default_value) {
  const toml::node* node = find(key);
  if (!node) return default_value;
  if (node->is_number()) fail(key, "a duration needs its unit, as in \"5s\" or \"150ms\"");
  auto value = node->value_exact<std::string>();
  auto span = value ? kit::parse_duration(*value) : std::nullopt;
  if (!span)
    fail(key, "not a duration; expected a form such as \"5s\", \"150ms\", \"20us\" or \"2min\"");
  return *span;
}

Micros TableReader::duration(const char* key) {
  if (!find(key)) fail(key, "missing");
  return duration(key, 0);
}

double TableReader::rate(const char* key, double default_value) {
  const toml::node* node = find(key);
  if (!node) return default_value;
  if (node->is_number()) fail(key, "a rate needs its unit, as in \"300/s\"");
  auto value = node->value_exact<std::string>();
  auto rate = value ? kit::parse_rate(*value) : std::nullopt;
  if (!rate || !(*rate > 0) || *rate > 1e6)
    fail(key, "not a rate above 0; expected a form such as \"300/s\"");
  return *rate;
}

std::uint64_t TableReader::size(const char* key, std::uint64_t default_value) {
  const toml::node* node = find(key);
  if (!node) return default_value;
  if (node->is_number()) fail(key, "a size needs its unit, as in \"64MiB\"");
  auto value = node->value_exact<std::string>();
  auto size = value ? kit::parse_size(*value) : std::nullopt;
  if (!size) fail(key, "not a size; expected a form such as \"512B\", \"64KiB\" or \"64MiB\"");
  return *size;
}

double TableReader::fraction(const char* key, double default_value) {
  const toml::node* node = find(key);
  if (!node) return default_value;
  std::optional<double> value = node->value<double>();
  if (auto text = node->value_exact<std::string>()) value = kit::parse_percent(*text);
  if (!value || !(*value >= 0 && *value <= 1))
    fail(key, "expected a fraction from 0 to 1 (0.05 or \"5%\")");
  return *value;
}

double TableReader::number(const char* key, double default_value, double low, double high) {
  const toml::node* node = find(key);
  if (!node) return default_value;
  auto value = node->value<double>();
  if (!value || !node->is_number() || !(*value >= low && *value <= high)) {
    char range[80];
    std::snprintf(range, sizeof range, "expected a number from %g to %g", low, high);
    fail(key, range);
  }
  return *value;
}

std::int64_t TableReader::integer(const char* key, std::int64_t default_value, std::int64_t low,
                                  std::int64_t high) {
  const toml::node* node = find(key);
  if (!node) return default_value;
  auto value = node->value_exact<std::int64_t>();
  if (!value || *value < low || *value > high)
    fail(key, "expected an integer from " + std::to_string(low) + " to " + std::to_string(high));
  return *value;
}

bool TableReader::flag(const char* key, bool default_value) {
  const toml::node* node = find(key);
  if (!node) return default_value;
  if (auto value = node->value_exact<bool>()) return *value;
  fail(key, "expected true or false");
}

std::vector<std::string> TableReader::texts(const char* key) {
  const toml::node* node = find(key);
  if (!node) return {};
  if (auto value = node->value_exact<std::string>()) return {*value};
  std::vector<std::string> values;
  const toml::array* list = node->as_array();
  if (!list || list->empty()) fail(key, "expected a string or a list of strings");
  for (const toml::node& item : *list) {
    auto value = item.value_exact<std::string>();
    if (!value) fail(key, "expected a string or a list of strings");
    values.push_back(*value);
  }
  return values;
}

std::vector<double> TableReader::numbers(const char* key) {
  const toml::node* node = find(key);
  if (!node) return {};
  std::vector<double> values;
  const toml::array* list = node->as_array();
  if (!list) fail(key, "expected a list of numbers");
  for (const toml::node& item : *list) {
    auto value = item.value<double>();
    if (!value || !item.is_number()) fail(key, "expected a list of numbers");
    values.push_back(*value);
  }
  return values;
}

std::vector<TableReader> TableReader::tables(const char* key) {
  const toml::node* node = find(key);
  std::vector<TableReader> readers;
  if (!node) return readers;
  std::string name = path_.empty() ? key : path_ + "." + key;
  const toml::array* list = node->as_array();
  if (!list) fail(key, "expected an array of tables [[" + name + "]]");
  for (std::size_t k = 0; k < list->size(); ++k) {
    const toml::table* table = list->get(k)->as_table();
    if (!table) fail(key, "expected an array of tables [[" + name + "]]");
    readers.emplace_back(*table, file_, name + "[" + std::to_string(k + 1) + "]");
  }
  return readers;
}

TableReader TableReader::subtable(const char* key) {
  static const toml::table kNone;
  const toml::node* node = find(key);
  std::string name = path_.empty() ? key : path_ + "." + key;
  if (!node) return TableReader(kNone, file_, name);
  const toml::table* table = node->as_table();
  if (!table) fail(key, "expected a table [" + name + "]");
  return TableReader(*table, file_, name);
}

void TableReader::reject_unknown_keys() const {
  for (const auto& [key, node] : table_) {
    std::string name(key.str());
    if (known_keys_.count(name)) continue;
    std::string known;
    for (const std::string& k : known_keys_) known += (known.empty() ? "" : ", ") + k;
    throw_error(
        file_, key.source(),
        (path_.empty() ? "" : path_ + ": ") + "unknown key '" + name + "' (known: " + known + ")");
  }
}

}  // namespace violetusher::rehearse
