#include "gateway/http/field_lines.h"

#include <algorithm>

#include "common/http_syntax.h"

namespace linenpier::http {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

bool beginsWithName(std::string_view line) {
  const std::string_view name = line.substr(0, line.find(':'));
  const bool has_colon = name.size() < line.size();
  return has_colon && isToken(name);
}

/// Removes the first line with its end. @return the line.
std::string_view takeLine(std::string_view& text) {
  const std::size_t end = std::min(text.find(kLineEnd), text.size());
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + kLineEnd.size(), text.size()));
  return line;
}

}  // namespace

bool hasValidFieldNames(std::string_view header) {
  takeLine(header);
  while (!header.empty()) {
    const std::string_view line = takeLine(header);
    if (line.empty()) return true;
    if (!beginsWithName(line)) return false;
  }
  return true;
}

}  // namespace linenpier::http
