#pragma once

/// @file
/// Structured logs: one JSON object per line, through Boost.Log with a bounded queue that drops and
/// counts records instead of blocking.

#include <cstdint>
#include <string>
#include <string_view>

#include "common/time.h"

namespace linenpier::logging {

/// Builds one log line, which is written by the destructor.
class LogEvent {
 public:
  /// @param part fixed name of the component, such as "forward".
  /// @param event fixed name of the event, such as "request_ended".
  LogEvent(std::string_view part, std::string_view event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& text(std::string_view field, std::string_view value);
  LogEvent& number(std::string_view field, std::int64_t value);
  LogEvent& real(std::string_view field, double value);
  LogEvent& milliseconds(std::string_view field, Duration value);

 private:
  bool enabled_;
  std::string line_;
};

struct EventLogOptions {
  std::string node;
  bool enabled = true;
  bool as_text = false;  ///< Plain text instead of JSON.
};

/// Sets up the process-wide sink. Call once, before the first event.
void startEventLog(const EventLogOptions& options);
/// Writes the lines in the queue. Call once, before the process ends. Gives up after a short time
/// if standard output is blocked, since the end of the process must not depend on its reader.
/// @return whether all lines were written.
bool stopEventLog();
/// @return the number of lines dropped because standard output was blocked.
std::uint64_t droppedLines();

}  // namespace linenpier::logging
