#pragma once

/** @file
 * True time, as the daemons agree on it, and the windows that use is counted in. Pure.
 *
 * Any daemon's time of day may be off or jump. The store's clock is steady, but its origin is not
 * known. So the daemons tell by how much their own clocks differ from the store's, and the median
 * of that, written down once for all, turns the store's clock into true time: it holds as long as
 * fewer than half of the clocks are wrong, and every daemon finds the same window for a moment.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace linenpier::usage {

/** What one daemon's clock said. */
struct clock_sample {
  std::int64_t offset_ms = 0;  ///< Its time of day since 1970, less the store's clock.
  std::int64_t told_ms = 0;    ///< When that was, by the store's clock.

  bool operator==(const clock_sample&) const = default;
};

std::string encodeSample(const clock_sample& sample);
/** @return nothing if the text is no sample. */
std::optional<clock_sample> decodeSample(const std::string& text);

/** @return the median of the samples that were told since; nothing if there is none. */
std::optional<std::int64_t> medianOffset(const std::vector<clock_sample>& samples,
                                         std::int64_t since_ms);

using window_number = std::int64_t;  ///< Windows are numbered from 1970 on.

/** Windows of true time, told by the store's clock. */
class windows {
 public:
  windows(Duration length, std::int64_t offset_ms);

  window_number at(std::int64_t store_ms) const;
  /** @return the store's clock at the window's end. */
  std::int64_t endOf(window_number window) const;

 private:
  std::int64_t length_ms_;
  std::int64_t offset_ms_;
};

}  // namespace linenpier::usage
