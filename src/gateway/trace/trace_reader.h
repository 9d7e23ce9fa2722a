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
  double time_ms = 0;  ///< Wall-clock time, unaffected by clock jumps while the daemon runs.
  std::string node;
  nlohmann::json fields;
};

struct Trace {
  std::vector<TraceLine> lines;
  std::size_t skipped_lines = 0;  ///< Lines that are truncated or not from this product.
};

/// Collects log lines and selects those of one id.
class TraceReader {
 public:
  /// Reads lines; text before the first brace of a line is skipped.
  void read(std::istream& input);
  /// @param id id of a request, item or batch job. The trace of an item includes the events of its
  ///     job.
  Trace linesFor(const std::string& id) const;
  Trace all() const;

 private:
  void readLine(const std::string& line);

  /// Clock of one run of a daemon process.
  struct NodeClock {
    double offset_ms = 0;  ///< Wall-clock minus steady time at the first line of the run.
    double last_steady_ms = 0;
  };
  std::map<std::string, NodeClock> clocks_;
  std::vector<TraceLine> lines_;
  std::size_t skipped_lines_ = 0;
};

/// @return the trace as text, one line per event, with gaps marked.
std::string toText(const Trace& trace);
std::string toJson(const Trace& trace);

}  // namespace linenpier::logging
