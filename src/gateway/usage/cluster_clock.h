#pragma once

/** @file
 * The cluster time that the daemons agreed on (see cluster_time.h): its row in the store, and its
 * synchronization by the leader.
 */

#include <optional>
#include <vector>

#include "common/task.h"
#include "gateway/table/async_table.h"
#include "gateway/usage/cluster_time.h"
#include "gateway/usage/usage_options.h"

namespace linenpier::usage {

/** Runs on the loop thread only. */
class cluster_clock {
 public:
  cluster_clock(table::AsyncTable& table, const lease::lease_keeper& keeper,
                const usage_options& options)
      : table_(table), keeper_(keeper), options_(options) {}

  /** Handles the row with the offset of cluster time from the feed. */
  void onRow(const table::Row& row);
  bool known() const { return this->offset_ms_.has_value(); }
  /** @return the usage windows; nothing until cluster time is known. */
  std::optional<usage_windows> usageWindows() const;
  /** @return the window of an instant; nothing until cluster time and the store's clock are known.
   */
  std::optional<window_number> windowAt(Instant at) const;
  /** @return whether the leader should compare cluster time with the daemons' samples. */
  bool synchronizationDue(Instant now) const;
  /** Sets or corrects cluster time from the samples. Called by the leader.
   * @param acquired_at when this daemon became the leader.
   */
  Task<void> synchronize(const lease::leader_lock& lock, Instant acquired_at);

 private:
  /** @return all daemons' samples; nothing if the store did not respond. */
  Task<std::optional<std::vector<clock_sample>>> readSamples();

  table::AsyncTable& table_;
  const lease::lease_keeper& keeper_;
  usage_options options_;
  std::optional<std::int64_t> offset_ms_;  ///< Agreed offset: cluster time minus the store's clock.
  Revision revision_ = 0;  ///< Revision of the row with the offset; 0: there is no row.
  Instant checked_at_{};   ///< When the samples were last read.
};

}  // namespace linenpier::usage
