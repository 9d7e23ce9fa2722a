#pragma once

/// @file
/// Puts the lines that many daemons wrote about one request, item or batch job into one order.

#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace linenpier::logging {

/// A line of one daemon's log.
struct TraceLine {
  double time_ms = 0;  ///< Wall time, free of jumps of the daemon's clock during its life.
  std::string node;
  nlohmann::json fields;
};

struct Trace {
  std::vector<TraceLine> lines;   ///< In order of time.
  std::size_t skipped_lines = 0;  ///< Lines that are no log lines of this product, or are cut.
};

/// Collects lines, then picks those about one id.
class TraceReader {
 public:
  /// Reads lines; whatever stands before the first brace of a line is skipped.
  void read(std::istream& input);
  /// @param id of a request, an item or a batch job. For an item, what befell its job is included.
  Trace linesFor(const std::string& id) const;
  /// @return every line.
  Trace all() const;

 private:
  void readLine(const std::string& line);

  /// One life of a daemon, as its steady clock shows it.
  struct NodeClock {
    double offset_ms = 0;  ///< Wall time less steady time at its first line.
    double last_steady_ms = 0;
  };
  std::map<std::string, NodeClock> clocks_;
  std::vector<TraceLine> lines_;
  std::size_t skipped_lines_ = 0;
};

/// @return the trace as text, a line an event, with gaps marked.
std::string toText(const Trace& trace);
std::string toJson(const Trace& trace);

}  // namespace linenpier::logging
