#include "common/toml_reader.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>

namespace linenpier::settings {

struct TomlReader::Document {
  toml::table table;
};

namespace {

/// Lists the dotted keys of all values below `table`.
void collectKeys(const toml::table& table, const std::string& prefix,
                 std::vector<std::string>& keys) {
  for (const auto& [key, node] : table) {
    const std::string name = prefix + std::string(key.str());
    if (const toml::table* inner = node.as_table()) {
      collectKeys(*inner, name + ".", keys);
    } else {
      keys.push_back(name);
    }
  }
}

}  // namespace

TomlReader::TomlReader(std::string file, const std::string& text, Overrides overrides)
    : file_(std::move(file)),
      overrides_(std::move(overrides)),
      document_(std::make_unique<Document>()) {
  try {
    document_->table = toml::parse(text, file_);
  } catch (const toml::parse_error& error) {
    const std::string line = std::to_string(error.source().begin.line);
    findings_.push_back({file_ + ":" + line, std::string(error.description())});
  }
}

TomlReader::~TomlReader() = default;

void TomlReader::report(const std::string& key, const std::string& problem) {
  if (overrides_.contains(key)) {
    findings_.push_back({"flag for " + key, problem});
    return;
  }
  const toml::node_view<toml::node> node = document_->table.at_path(key);
  const std::string line = node ? ":" + std::to_string(node.node()->source().begin.line) : "";
  findings_.push_back({file_ + line + ": " + key, problem});
}

void TomlReader::readString(const std::string& key, std::string& value, bool required) {
  known_.insert(key);
  const auto override_value = overrides_.find(key);
  if (override_value != overrides_.end()) {
    value = override_value->second;
    return;
  }
  const auto node = document_->table.at_path(key);
  if (!node) {
    if (required) report(key, "is missing");
    return;
  }
  if (const auto text = node.value_exact<std::string>()) {
    value = *text;
  } else {
    report(key, "must be a string");
  }
}

void TomlReader::readChoice(const std::string& key, std::string& value,
                            const std::vector<std::string>& choices) {
  readString(key, value, false);
  if (std::find(choices.begin(), choices.end(), value) != choices.end()) return;
  std::string list;
  for (const std::string& choice : choices) list += (list.empty() ? "" : ", ") + choice;
  report(key, "must be one of " + list);
}

void TomlReader::readAddress(const std::string& key, Address& value, bool required) {
  std::string text;
  const std::size_t before = findings_.size();
  readString(key, text, required);
  if (text.empty() || findings_.size() != before) return;
  if (const auto address = parseAddress(text)) {
    value = *address;
  } else {
    report(key, "must be an IP address and a port, such as 127.0.0.1:7000");
  }
}

void TomlReader::readInteger(const std::string& key, std::int64_t& value, std::int64_t lowest,
                             std::int64_t highest) {
  known_.insert(key);
  std::int64_t read = value;
  const auto override_value = overrides_.find(key);
  const auto node = document_->table.at_path(key);
  if (override_value != overrides_.end()) {
    const std::string& text = override_value->second;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), read);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
      return report(key, "must be an integer");
    }
  } else if (node) {
    const auto number = node.value_exact<std::int64_t>();
    if (!number) return report(key, "must be an integer");
    read = *number;
  }
  if (read < lowest || read > highest) {
    return report(key, "must be from " + std::to_string(lowest) + " to " + std::to_string(highest));
  }
  value = read;
}

void TomlReader::readNumber(const std::string& key, double& value, double lowest, double highest) {
  known_.insert(key);
  const auto node = document_->table.at_path(key);
  if (!node) return;
  const auto number = node.value<double>();
  if (!number) return report(key, "must be a number");
  if (*number < lowest || *number > highest) return report(key, "is out of range");
  value = *number;
}

void TomlReader::readStrings(const std::string& key, std::map<std::string, std::string>& values) {
  const auto node = document_->table.at_path(key);
  if (!node) return;
  const toml::table* table = node.as_table();
  if (table == nullptr) {
    known_.insert(key);
    return report(key, "must be a table");
  }
  for (const auto& [name, value] : *table) {
    const std::string full = key + "." + std::string(name.str());
    known_.insert(full);
    if (const auto text = value.value_exact<std::string>()) {
      values[std::string(name.str())] = *text;
    } else {
      report(full, "must be a string");
    }
  }
}

Findings TomlReader::finish() {
  std::vector<std::string> keys;
  collectKeys(document_->table, "", keys);
  for (const std::string& key : keys) {
    if (!known_.contains(key)) report(key, "unknown key");
  }
  return findings_;
}

}  // namespace linenpier::settings
