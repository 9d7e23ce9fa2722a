#include "gateway/forward/event_parser.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <charconv>

namespace linenpier::forward {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) return std::nullopt;
  return number;
}

}  // namespace

event_parser::event_parser(const std::string& version_field)
    : version_field_(boost::to_lower_copy(version_field)) {}

std::vector<stream_event> event_parser::feed(std::string_view bytes) {
  std::vector<stream_event> events;
  for (const char byte : bytes) {
    if (this->over_limit_) break;
    this->pending_.push_back(byte);
    this->over_limit_ = this->pending_.size() > kMaxEventBytes;
    if (byte != '\n') continue;
    const std::size_t length = this->pending_.size() - this->line_start_;
    const bool empty = length == 1 || (length == 2 && this->pending_[this->line_start_] == '\r');
    if (!empty) {
      this->line_start_ = this->pending_.size();
      continue;
    }
    events.push_back(this->parse(std::move(this->pending_)));
    this->pending_.clear();
    this->line_start_ = 0;
  }
  return events;
}

stream_event event_parser::parse(std::string raw) const {
  stream_event event;
  bool has_data = false;
  std::string_view left = raw;
  while (!left.empty()) {
    const std::size_t end = left.find('\n');
    std::string_view line = left.substr(0, end);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    this->parseLine(line, event, has_data);
    left.remove_prefix(end + 1);
  }
  event.raw = std::move(raw);
  return event;
}

void event_parser::parseLine(std::string_view line, stream_event& event, bool& has_data) const {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return;
  const std::string_view field = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (field == "id") {
    event.id = parseNumber(value);
  } else if (field == "data") {
    if (has_data) event.data.push_back('\n');
    event.data.append(value);
    has_data = true;
  } else if (field == this->version_field_) {
    event.version = parseNumber(value);
  }
}

}  // namespace linenpier::forward
