#pragma once

/** @file
 * True time as the daemons have agreed on it (see cluster_time.h): the row that says so, and its
 * settling by the leader.
 */

#include <optional>
#include <vector>

#include "common/task.h"
#include "gateway/table/async_table.h"
#include "gateway/usage/cluster_time.h"
#include "gateway/usage/usage_options.h"

namespace linenpier::usage {

/** Loop thread only. */
class cluster_clock {
 public:
  cluster_clock(table::AsyncTable& table, const lease::lease_keeper& keeper,
                const usage_options& options)
      : table_(table), keeper_(keeper), options_(options) {}

  /** The row that says what true time is, as the feed shows it. */
  void onRow(const table::Row& row);
  bool known() const { return this->offset_ms_.has_value(); }
  /** @return the windows of true time, once that is known. */
  std::optional<usage_windows> usageWindows() const;
  /** @return the window of a moment; nothing before true time and the store's clock are known. */
  std::optional<window_number> windowAt(Instant at) const;
  /** @return whether the leader should compare true time with the daemons' samples. */
  bool synchronizationDue(Instant now) const;
  /** Agrees on true time, or corrects it, by the samples. For the leader.
   * @param acquired_at when this daemon became the leader.
   */
  Task<void> synchronize(const lease::leader_lock& lock, Instant acquired_at);

 private:
  /** @return all daemons' samples; nothing if the store did not answer. */
  Task<std::optional<std::vector<clock_sample>>> readSamples();

  table::AsyncTable& table_;
  const lease::lease_keeper& keeper_;
  usage_options options_;
  std::optional<std::int64_t> offset_ms_;  ///< True time less the store's clock, as agreed.
  Revision revision_ = 0;                  ///< Of the row; 0: there is none.
  Instant checked_at_{};                   ///< When samples were last read.
};

}  // namespace linenpier::usage
