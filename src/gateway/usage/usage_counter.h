#pragma once

/** @file
 * Counts started requests of this incarnation of the daemon by window and tenant. Does no I/O; loop
 * thread only.
 */

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "gateway/usage/cluster_time.h"

namespace linenpier::usage {

using tenant_counts = std::map<TenantId, std::uint64_t>;

/** @return the value of a row of counts. */
std::string encodeCounts(const tenant_counts& counts);
/** @return the counts; nothing if the text is malformed. */
std::optional<tenant_counts> decodeCounts(const std::string& text);
/** Adds `more` to `sum`. */
void addCounts(const tenant_counts& more, tenant_counts& sum);

/** Counts of one window, and how many of them are stored.
 *
 * Invariant: a row holds the total counts of this incarnation in its window, so that writes are
 * idempotent; a write is conditional on the row's last revision, so that a delayed write cannot
 * overwrite a newer one.
 */
struct window_counts {
  tenant_counts counts;
  Revision revision = 0;     ///< Revision of the window's row; 0: there is no row.
  std::uint64_t total = 0;   ///< Sum of the counts.
  std::uint64_t stored = 0;  ///< How many requests of `total` are stored.

  bool unsaved() const { return this->total > this->stored; }
};

class usage_counter {
 public:
  /** @return the window of an instant; nothing while it is unknown. */
  using window_finder = std::function<std::optional<window_number>(Instant)>;

  /** Counts a started request. @return false if too many requests are waiting for their window.
   */
  bool onRequestStarted(Instant at, const TenantId& tenant);
  /** Assigns the requests whose window was unknown to their windows, as far as now known. */
  void assign(const window_finder& find);
  /** @return the windows with counts that are not stored, oldest first. */
  std::vector<window_number> unsaved() const;
  window_counts& of(window_number window) { return this->windows_[window]; }
  /** Discards the windows before `window` whose counts are all stored. */
  void discardBefore(window_number window);
  /** @return whether no request is waiting to be assigned or stored. */
  bool idle() const;

 private:
  struct started_request {
    Instant at;
    TenantId tenant;
  };
  std::vector<started_request> unassigned_;  ///< Requests whose window is unknown.
  std::map<window_number, window_counts> windows_;
};

}  // namespace linenpier::usage
