#include "common/event_log.h"

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <cstdio>
#include <future>
#include <iostream>
#include <thread>

namespace linenpier::logging {

namespace sinks = boost::log::sinks;

namespace {

constexpr std::size_t kQueuedLines = 4096;
/// Together with the end of the requests, this fits into the time that a stop reserves for the end
/// of the process.
constexpr std::chrono::milliseconds kFlushTimeout{300};

std::atomic<std::uint64_t> dropped_lines{0};
std::uint64_t reported_drops = 0;
bool reporting_drops = false;
EventLogOptions options;

/// Drops and counts records that do not fit into the queue. Boost.Log requires these names.
// NOLINTBEGIN(readability-identifier-naming)
struct DropAndCount {
  template <typename Lock>
  static bool on_overflow(const boost::log::record_view& /*record*/, Lock& /*lock*/) {
    ++dropped_lines;
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};
// NOLINTEND(readability-identifier-naming)

using Sink = sinks::asynchronous_sink<sinks::text_ostream_backend,
                                      sinks::bounded_fifo_queue<kQueuedLines, DropAndCount>>;
boost::shared_ptr<Sink> sink;

boost::log::sources::logger& logger() {
  static boost::log::sources::logger instance;
  return instance;
}

void writeLine(const std::string& line) {
  BOOST_LOG(logger()) << line;
}

void appendEscaped(std::string& line, std::string_view text) {
  for (const char character : text) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      line.push_back('\\');
      line.push_back(character);
    } else if (code < 0x20) {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\u%04x", code);
      line += escaped;
    } else {
      line.push_back(character);
    }
  }
}

std::int64_t wallMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::int64_t steadyMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow().time_since_epoch())
      .count();
}

void reportDrops() {
  const std::uint64_t dropped = dropped_lines.load();
  // While the queue is full, the report is dropped too, and must not be followed by another one.
  if (reporting_drops || dropped == reported_drops) return;
  reporting_drops = true;
  LogEvent("log", "lines_dropped")
      .number("count", static_cast<std::int64_t>(dropped - reported_drops));
  reporting_drops = false;
  const bool written = dropped_lines.load() == dropped;
  if (written) reported_drops = dropped;
}

}  // namespace

LogEvent::LogEvent(std::string_view part, std::string_view event) : enabled_(options.enabled) {
  if (!enabled_) return;
  if (options.as_text) {
    line_.append("[").append(part).append("] ").append(event);
    return;
  }
  line_ = "{\"wall_ms\":" + std::to_string(wallMilliseconds()) +
          ",\"steady_ms\":" + std::to_string(steadyMilliseconds()) + ",\"node\":\"" + options.node +
          "\",\"part\":\"";
  line_.append(part).append("\",\"event\":\"").append(event).append("\"");
}

LogEvent::~LogEvent() {
  if (!enabled_) return;
  if (!options.as_text) line_.push_back('}');
  writeLine(line_);
  reportDrops();
}

LogEvent& LogEvent::text(std::string_view field, std::string_view value) {
  if (!enabled_) return *this;
  line_.append(options.as_text ? " " : ",\"").append(field);
  line_.append(options.as_text ? "=" : "\":\"");
  appendEscaped(line_, value);
  if (!options.as_text) line_.push_back('"');
  return *this;
}

LogEvent& LogEvent::number(std::string_view field, std::int64_t value) {
  if (!enabled_) return *this;
  line_.append(options.as_text ? " " : ",\"").append(field);
  line_.append(options.as_text ? "=" : "\":").append(std::to_string(value));
  return *this;
}

LogEvent& LogEvent::real(std::string_view field, double value) {
  if (!enabled_) return *this;
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", value);
  line_.append(options.as_text ? " " : ",\"").append(field);
  line_.append(options.as_text ? "=" : "\":").append(text);
  return *this;
}

LogEvent& LogEvent::milliseconds(std::string_view field, Duration value) {
  return real(field, toSeconds(value) * 1000);
}

void startEventLog(const EventLogOptions& chosen) {
  options = chosen;
  const auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
  backend->auto_flush(true);
  sink = boost::make_shared<Sink>(backend);
  boost::log::core::get()->add_sink(sink);
}

bool stopEventLog() {
  if (!sink) return true;
  boost::log::core::get()->remove_sink(sink);
  std::promise<void> written;
  const std::future<void> flushed = written.get_future();
  // While standard output is blocked, so are `stop` and `flush`. The thread then lasts as long as
  // the process.
  std::thread([blocked = std::move(sink), written = std::move(written)]() mutable {
    blocked->stop();
    blocked->flush();
    written.set_value();
  }).detach();
  return flushed.wait_for(kFlushTimeout) == std::future_status::ready;
}

std::uint64_t droppedLines() {
  return dropped_lines.load();
}

}  // namespace linenpier::logging
