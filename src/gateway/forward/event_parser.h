#pragma once

/** @file
 * Incremental parser for server-sent event streams.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.h"

namespace linenpier::forward {

struct stream_event {
  std::string raw;  ///< All bytes of the event, including the terminating empty line.
  std::optional<std::uint64_t> id;
  std::string data;                      ///< Data lines of the event, joined by line feeds.
  std::optional<WeightVersion> version;  ///< New weight version, if the event carries one.
};

/** Maximum size of an event. An event holds a few tokens of text. */
inline constexpr std::size_t kMaxEventBytes = 64 * 1024;

/** Parser for one event stream. Buffers at most one incomplete event, of limited size. */
class event_parser {
 public:
  /** @param version_field name of the field that carries a new weight version; case-insensitive. */
  explicit event_parser(const std::string& version_field);

  /** @return the events completed by `bytes`; none from an event on that is too large. */
  std::vector<stream_event> feed(std::string_view bytes);
  /** @return whether an event exceeded `kMaxEventBytes`. The stream must not be read further. */
  bool overLimit() const { return this->over_limit_; }
  /** @return the buffered bytes of an incomplete event. */
  const std::string& incompleteEvent() const { return this->pending_; }

 private:
  stream_event parse(std::string raw) const;
  void parseLine(std::string_view line, stream_event& event, bool& has_data) const;

  std::string version_field_;  ///< Field name in lower case.
  std::string pending_;
  bool over_limit_ = false;
  std::size_t line_start_ = 0;  ///< Offset of the unfinished line in `pending_`.
};

}  // namespace linenpier::forward
