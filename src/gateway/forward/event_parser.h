#pragma once

/** @file
 * Cuts a server-sent event stream into complete events. Pure.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.h"

namespace linenpier::forward {

struct stream_event {
  std::string raw;  ///< All bytes, the closing empty line included.
  std::optional<std::uint64_t> id;
  std::string data;                      ///< Data lines, joined by line feeds.
  std::optional<WeightVersion> version;  ///< Of weights; set where it changes.
};

/** Holds at most one incomplete event. */
class event_parser {
 public:
  /** @param version_field name of the line that holds a new version of weights; any case. */
  explicit event_parser(const std::string& version_field);

  /** @return the events that are complete with `bytes`. */
  std::vector<stream_event> feed(std::string_view bytes);
  /** @return bytes of an event that is not complete. */
  const std::string& incompleteEvent() const { return this->pending_; }

 private:
  stream_event parse(std::string raw) const;
  void parseLine(std::string_view line, stream_event& event, bool& has_data) const;

  std::string version_field_;  ///< Lower case.
  std::string pending_;
  std::size_t line_start_ = 0;  ///< In `pending_`: where the unfinished line begins.
};

}  // namespace linenpier::forward
