#pragma once

/** @file
 * True time, and the windows that usage is counted in. Pure.
 *
 * Any daemon's time of day may be off or jump. The store's clock is steady, but its origin is not
 * known. So each daemon states by how much its own clock differs from the store's, and the median
 * of that, written down once for all, turns the store's clock into true time. It holds as long as
 * fewer than half of the clocks are wrong, and every daemon finds the same window for a moment.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace linenpier::usage {

/** One daemon's clock against the store's. */
struct clock_sample {
  std::int64_t offset_ms = 0;  ///< Its time of day since 1970, less the store's clock.
  std::int64_t taken_ms = 0;   ///< When it was taken, by the store's clock.

  bool operator==(const clock_sample&) const = default;
};

/** @return the value of the sample's row. */
std::string encodeSample(const clock_sample& sample);
/** @return nothing if the text is no sample. */
std::optional<clock_sample> decodeSample(const std::string& text);

/** @return the median offset of the samples taken since then; nothing if there is none. */
std::optional<std::int64_t> medianOffset(const std::vector<clock_sample>& samples,
                                         std::int64_t since_ms);

using window_number = std::int64_t;  ///< Windows are numbered from 1970 on.

/** Translates between the store's clock, in ms, and windows of true time. */
class usage_windows {
 public:
  /** @param offset_ms true time less the store's clock. */
  usage_windows(Duration length, std::int64_t offset_ms);

  window_number at(std::int64_t store_ms) const;
  /** @return the store's clock at the window's end, in ms. */
  std::int64_t endOf(window_number window) const;

 private:
  std::int64_t length_ms_;
  std::int64_t offset_ms_;
};

}  // namespace linenpier::usage
