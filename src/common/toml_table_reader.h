#pragma once

/// @file
/// Reads values of TOML tables for the test bed tools and collects findings.

#include <toml++/toml.h>

#include <string>
#include <utility>

#include "common/address.h"
#include "common/error.h"
#include "common/read_file.h"

namespace linenpier::settings {

/// Reads the values of one table.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string file, Findings& findings)
      : table_(table), file_(std::move(file)), findings_(findings) {}

  std::string text(const char* key) {
    const auto value = table_[key].value<std::string>();
    if (!value) report(key, "must be a string");
    return value.value_or("");
  }
  template <typename Number>
  Number number(const char* key, Number default_value) {
    if (!table_[key]) return default_value;
    const auto value = table_[key].value<Number>();
    if (!value) report(key, "must be a number in range");
    return value.value_or(default_value);
  }
  Address address(const char* key, bool required) {
    const auto value = table_[key].value<std::string>();
    if (!value && !required) return {};
    const auto parsed = parseAddress(value.value_or(""));
    if (!parsed) report(key, "must be an IP address and a port");
    return parsed.value_or(Address{});
  }
  void report(const std::string& key, const std::string& problem) {
    const std::string line = std::to_string(table_.source().begin.line);
    findings_.push_back({file_ + ":" + line + ": " + key, problem});
  }

 private:
  const toml::table& table_;
  std::string file_;
  Findings& findings_;
};

/// Calls `read` for each table of the array `key`, if there is one.
template <typename Read>
void readArray(const toml::table& root, const char* key, const std::string& file,
               Findings& findings, Read read) {
  const toml::array* array = root[key].as_array();
  if (array == nullptr) return;
  for (const toml::node& node : *array) {
    if (const toml::table* table = node.as_table()) {
      TableReader reader(*table, file, findings);
      read(reader);
    }
  }
}

/// Reads `file` and lets `read` fill a value from its root table.
/// @return the value, or every finding.
template <typename Value, typename Read>
tl::expected<Value, Findings> readTomlFile(const std::string& file, Read read) {
  const auto text = readFile(file);
  if (!text) return tl::make_unexpected(text.error());
  Findings findings;
  Value value;
  try {
    const toml::table root = toml::parse(*text, file);
    TableReader top(root, file, findings);
    read(root, top, value, findings);
  } catch (const toml::parse_error& error) {
    findings.push_back(
        {file + ":" + std::to_string(error.source().begin.line), std::string(error.description())});
  }
  if (!findings.empty()) return tl::make_unexpected(findings);
  return value;
}

}  // namespace linenpier::settings
