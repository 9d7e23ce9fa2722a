#pragma once

/** @file
 * Counts started requests and writes the counts to the store.
 *
 * Every daemon keeps one row per window with the total counts of its incarnation. Rows are written
 * soon after a request was counted, so that a crash loses few counts. A daemon that cannot reach
 * the store writes through a peer. The same writes carry samples of the daemon's wall clock.
 *
 * The leader closes a window before it sums the window's rows. A write that may come later is
 * conditional on the row that names the newest closed window, so that counts that are stored too
 * late to be summed are known to be late.
 */

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/task.h"
#include "gateway/table/async_table.h"
#include "gateway/usage/cluster_clock.h"
#include "gateway/usage/usage_counter.h"

namespace linenpier::usage {

/** Runs on the loop thread only; must live as long as the loop runs. */
class usage_writer {
 public:
  /** Performs a write through another daemon. @return the store's response; nothing if no daemon
   * could perform the write.
   */
  using write_by_peer = std::function<Task<std::optional<table::TransactionAnswer>>(table::Write)>;

  struct dependencies {
    boost::asio::io_context& loop;
    table::AsyncTable& table;
    const lease::lease_table& leases;
    const lease::lease_keeper& keeper;
    const cluster_clock& clock;
    std::string daemon;  ///< Name of this daemon.
    std::function<std::int64_t()> time_of_day_ms;
    write_by_peer by_peer;
  };
  usage_writer(dependencies deps, const usage_options& options)
      : deps_(std::move(deps)), options_(options), counted_(deps_.loop) {}

  void start();
  void onRequestStarted(const TenantId& tenant, Instant at);
  /** @return whether counts are waiting to be stored. */
  bool unsaved() const { return !this->counter_.idle(); }
  std::uint64_t counted() const { return this->total_counted_; }
  /** @return requests not counted because too many were waiting for the store's clock. */
  std::uint64_t dropped() const { return this->total_dropped_; }
  /** @return requests counted for a window that had already been summed. */
  std::uint64_t late() const { return this->total_late_; }

 private:
  /** A window in a pending write. */
  struct written_window {
    window_number window = 0;
    std::uint64_t total = 0;  ///< Requests counted in the window when the write was sent.
  };

  Task<void> writeLoop();
  Task<void> writeCounts();
  /** Adds the rows of windows with unsaved counts to the write. */
  std::vector<written_window> addUnsaved(Instant now, table::Write& write);
  /** Adds a sample of this daemon's wall clock to the write if one is due. @return whether
   * a sample was added.
   */
  bool addSample(Instant now, table::Write& write);
  /** @return whether the leader may have closed the window. */
  bool mayBeClosed(Instant now, window_number window) const;
  void onWritten(const std::vector<written_window>& written,
                 const table::TransactionAnswer& answer);
  /** Handles a conflict: the store rejected the write because a row's revision has changed.
   * @param closed_changed whether the row with the newest closed window has changed.
   */
  void onConflict(const written_window& written, const table::TransactionAnswer& answer,
                  bool closed_changed);
  /** Handles the row with the newest closed window in a conflict. @return whether it has changed.
   */
  bool readClosedWindow(const table::TransactionAnswer& answer);
  /** Counts the unsaved requests of a window as late. */
  void onWindowMissed(window_number window);

  dependencies deps_;
  usage_options options_;
  usage_counter counter_;
  Signal counted_;                    ///< Notified when a request was counted.
  window_number closed_through_ = 0;  ///< Newest window that is known to be closed.
  Revision closed_revision_ = 0;      ///< Revision of the row with `closed_through_`; 0: no row.
  Instant sampled_at_{};
  std::uint64_t total_counted_ = 0;
  std::uint64_t total_dropped_ = 0;
  std::uint64_t total_late_ = 0;
};

}  // namespace linenpier::usage
