#pragma once

/** @file
 * What this life of the daemon has counted: requests that began to run, by window and tenant. Pure;
 * loop thread only.
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
/** @return nothing if the text holds no counts. */
std::optional<tenant_counts> decodeCounts(const std::string& text);
/** Adds `more` to `sum`. */
void addCounts(const tenant_counts& more, tenant_counts& sum);

/** Counts of one window, and what of them is in the store.
 *
 * Invariant: a row holds all that this life has counted in its window, so that writing it again
 * does no harm; it is written under its last revision, so that a write that comes late undoes none.
 */
struct window_counts {
  tenant_counts counts;
  Revision revision = 0;      ///< Of the row; 0: there is none yet.
  std::uint64_t changes = 0;  ///< That were counted.
  std::uint64_t stored = 0;   ///< Of these, in the store.

  bool unsaved() const { return this->changes > this->stored; }
};

class usage_counter {
 public:
  /** @return the window of a moment; nothing while that is not known yet. */
  using window_finder = std::function<std::optional<window_number>(Instant)>;

  /** A request began to run. @return whether it was counted: not if too many wait for their window.
   */
  bool onRequestStarted(Instant at, const TenantId& tenant);
  /** Counts what waits in its windows, as far as these are known. */
  void assign(const window_finder& find);
  /** @return the windows with counts that are not in the store, oldest first. */
  std::vector<window_number> unsaved() const;
  window_counts& of(window_number window) { return this->windows_[window]; }
  /** Forgets windows before this one whose counts are all in the store. */
  void discardBefore(window_number window);
  /** @return whether nothing waits to be assigned or written. */
  bool idle() const;

 private:
  struct started_request {
    Instant at;
    TenantId tenant;
  };
  std::vector<started_request> unassigned_;  ///< For their window to be known.
  std::map<window_number, window_counts> windows_;
};

}  // namespace linenpier::usage
