#pragma once

/// @file
/// Structured logs: one JSON object a line, through Boost.Log with a bounded queue that drops and
/// counts instead of waiting.

#include <cstdint>
#include <string>
#include <string_view>

#include "common/time.h"

namespace linenpier::logging {

/// One line under construction; written when it goes out of scope.
class LogEvent {
 public:
  /// @param part fixed prefix of the part of the program, such as "forward".
  /// @param event fixed name of what happened, such as "request_ended".
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
  bool as_text = false;  ///< Plain sentences instead of JSON.
};

/// Sets up the sink for the whole process. Call once, before the first event.
void startEventLog(const EventLogOptions& options);
/// Writes what is queued, waiting at most a moment.
void stopEventLog();
/// @return lines dropped because standard output did not take them.
std::uint64_t droppedLines();

}  // namespace linenpier::logging
