#pragma once

/// @file
/// Reads typed values from TOML by dotted key and collects errors with file, line and key.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/address.h"
#include "common/error.h"

namespace linenpier::settings {

/// Values given on the command line, by dotted key such as "daemon.zone".
using Overrides = std::map<std::string, std::string>;

/// Reads one settings file. `finish` reports keys that were never read.
class TomlReader {
 public:
  TomlReader(std::string file, const std::string& text, Overrides overrides);
  ~TomlReader();

  void readString(const std::string& key, std::string& value, bool required);
  /// A string that must be one of `choices`.
  void readChoice(const std::string& key, std::string& value,
                  const std::vector<std::string>& choices);
  void readAddress(const std::string& key, Address& value, bool required);
  void readInteger(const std::string& key, std::int64_t& value, std::int64_t lowest,
                   std::int64_t highest);
  void readNumber(const std::string& key, double& value, double lowest, double highest);
  /// A table of strings with arbitrary keys, such as zones; may be absent.
  void readStrings(const std::string& key, std::map<std::string, std::string>& values);
  /// Reports unknown keys. @return all findings.
  Findings finish();
  void report(const std::string& key, const std::string& problem);

 private:
  struct Document;
  std::string file_;
  Overrides overrides_;
  std::unique_ptr<Document> document_;  ///< Parsed document; empty after a syntax error.
  std::set<std::string> known_;         ///< Keys that were read.
  Findings findings_;
};

}  // namespace linenpier::settings
