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

/** Parser for one event stream. Buffers at most one incomplete event. */
class event_parser {
 public:
  /** @param version_field name of the field that carries a new weight version; case-insensitive. */
  explicit event_parser(const std::string& version_field);

  /** @return the events completed by `bytes`. */
  std::vector<stream_event> feed(std::string_view bytes);
  /** @return the buffered bytes of an incomplete event. */
  const std::string& incompleteEvent() const { return this->pending_; }

 private:
  stream_event parse(std::string raw) const;
  void parseLine(std::string_view line, stream_event& event, bool& has_data) const;

  std::string version_field_;  ///< Field name in lower case.
  std::string pending_;
  std::size_t line_start_ = 0;  ///< Offset of the unfinished line in `pending_`.
};

}  // namespace linenpier::forward
