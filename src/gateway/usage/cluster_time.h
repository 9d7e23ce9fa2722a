#pragma once

/** @file
 * Cluster time, and the windows in which usage is counted. Does no I/O.
 *
 * Any daemon's wall clock may be wrong or jump. The store's clock is steady, but its epoch is
 * arbitrary. Each daemon therefore publishes the offset of its wall clock from the store's clock;
 * the median offset, stored in one row, converts the store's clock to cluster time. This is correct
 * as long as fewer than half of the wall clocks are wrong, and all daemons map an instant to the
 * same window.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace linenpier::usage {

/** Offset of one daemon's wall clock from the store's clock. */
struct clock_sample {
  std::int64_t offset_ms = 0;  ///< Unix time minus the store's clock.
  std::int64_t taken_ms = 0;   ///< Time of the sample, by the store's clock.

  bool operator==(const clock_sample&) const = default;
};

/** @return the value of the sample's row. */
std::string encodeSample(const clock_sample& sample);
/** @return the sample; nothing if the text is malformed. */
std::optional<clock_sample> decodeSample(const std::string& text);

/** @return the median offset of the samples taken at or after `since_ms`; nothing if there are
 * none.
 */
std::optional<std::int64_t> medianOffset(const std::vector<clock_sample>& samples,
                                         std::int64_t since_ms);

using window_number = std::int64_t;  ///< Windows are numbered from the Unix epoch.

/** Converts between the store's clock, in ms, and windows of cluster time. */
class usage_windows {
 public:
  /** @param offset_ms cluster time minus the store's clock. */
  usage_windows(Duration length, std::int64_t offset_ms);

  window_number at(std::int64_t store_ms) const;
  /** @return the store's clock at the window's end, in ms. */
  std::int64_t endOf(window_number window) const;

 private:
  std::int64_t length_ms_;
  std::int64_t offset_ms_;
};

}  // namespace linenpier::usage
