#pragma once

/// @file
/// Merges the log lines of many daemons on one request, item or batch job in time order.

#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace linenpier::logging {

struct TraceLine {
  /// Wall-clock time of the log line, unaffected by clock jumps while the daemon runs.
  double time_ms = 0;
  std::string node;
  nlohmann::json fields;
};

struct Trace {
  std::vector<TraceLine> lines;
  /// Number of log lines that are truncated or not from this product.
  std::size_t skipped_lines = 0;
};

/// Collects log lines and selects the lines about one request, item or batch job.
class TraceReader {
 public:
  /// Reads log lines; the text before the first brace of each line is skipped.
  void read(std::istream& input);
  /// @param id id of a request, item or batch job. The trace of an item includes the events of the
  /// job that contains the item.
  Trace linesFor(const std::string& id) const;
  Trace all() const;

 private:
  void readLine(const std::string& line);

  /// Clock readings in the log of one run of a daemon process, for converting steady time to
  /// wall-clock time.
  struct NodeClock {
    double offset_ms = 0;  ///< Wall-clock time minus steady time at the first log line of the run.
    double last_steady_ms = 0;
  };
  std::map<std::string, NodeClock> clocks_;
  std::vector<TraceLine> lines_;
  std::size_t skipped_lines_ = 0;
};

/// @return the trace as text, with one line per event and one line per long gap between two events.
std::string toText(const Trace& trace);
std::string toJson(const Trace& trace);

}  // namespace linenpier::logging
