#pragma once

/// @file
/// Splits a server-sent event stream into the payloads of its data lines.

#include <string>
#include <string_view>

namespace linenpier::platform {

/// Feeds on bytes in whatever pieces they arrive.
class ServerSentEvents {
 public:
  /// @param on_data called with each data payload; returns false to stop.
  /// @return false if `on_data` stopped or a line is longer than the bound.
  template <typename OnData>
  bool feed(std::string_view bytes, OnData on_data) {
    buffer_.append(bytes);
    if (buffer_.size() > kMaxLine) return false;
    std::size_t begin = 0;
    for (auto end = buffer_.find('\n'); end != std::string::npos; end = buffer_.find('\n', begin)) {
      std::string_view line(buffer_.data() + begin, end - begin);
      begin = end + 1;
      if (line.ends_with('\r')) line.remove_suffix(1);
      if (!line.starts_with(kDataPrefix)) continue;
      if (!on_data(line.substr(kDataPrefix.size()))) return false;
    }
    buffer_.erase(0, begin);
    return true;
  }

 private:
  static constexpr std::string_view kDataPrefix = "data: ";
  static constexpr std::size_t kMaxLine = 1 << 20;
  std::string buffer_;  ///< The line that has not ended yet.
};

}  // namespace linenpier::platform
