#pragma once

/** @file
 * Counts the requests that began to run, by tenant and window, and reports each window to the
 * platform once.
 *
 * - Every daemon keeps a row a window with what this life of it has counted. It is written soon
 *   after something was counted, so that the loss of the daemon, or of all, loses next to nothing.
 *   A daemon that does not reach the store lets another one write.
 * - One daemon, the holder of the right to report, adds a window's rows up some time after its end.
 *   What it will report is written down first, under the condition that it still holds the right;
 *   then it is sent, again and again until it is taken. So a next holder sends the same bytes.
 * - The holder also writes down what true time is (see true_time.h).
 */

#include <functional>
#include <optional>

#include "gateway/lease/leader_lock.h"
#include "gateway/usage/duty_port.h"
#include "gateway/usage/run_recorder.h"
#include "gateway/usage/usage_counter.h"

namespace linenpier::usage {

struct usage_options {
  Duration window{};  ///< Length of a window; zero: use is not reported.
  /// Between two writes of counts: a fleet of 340 daemons that all count something each second
  /// stays at some 300 writes a second.
  Duration write_gap = std::chrono::seconds(1);
  Duration retry_pause = std::chrono::milliseconds(200);
  /// From a window's end until its rows are added up: requests last at most 1.5 s, rows are written
  /// within the gap, and clocks differ by little.
  Duration settle = std::chrono::seconds(4);
  /// A store that is back after an outage is given this time to get the rows that were held up: a
  /// write that was sent just before its return is given up after 1.5 s and sent again, …
  Duration settle_after_outage = std::chrono::milliseconds(2500);
  /// … but a window is added up at the latest so long after its end: a report is due after ten
  /// seconds, and must be sent.
  Duration latest = std::chrono::milliseconds(8500);
  Duration sample_period = std::chrono::seconds(20);  ///< Between two samples of a daemon's clock.
  Duration sample_lifetime = std::chrono::seconds(60);
  /// Until the first samples of a fleet that starts are there.
  Duration first_samples = std::chrono::seconds(4);
  /// True time is corrected if the samples differ by more; clocks that are well differ by less.
  std::int64_t worth_correcting_ms = 20;
  lease::handover_rules handover;
};

struct usage_totals {
  std::uint64_t counted = 0;
  std::uint64_t dropped = 0;   ///< Not counted: too many waited for the store's clock.
  std::uint64_t late = 0;      ///< Counted for a window that was added up already.
  std::uint64_t reported = 0;  ///< Windows that the platform took from this daemon.
};

/** Loop thread only. */
class usage_service : public run_recorder {
 public:
  /** Lets another daemon do a write. @return nothing if none did. */
  using write_by_peer = std::function<Task<std::optional<table::TransactionAnswer>>(table::Write)>;

  struct dependencies {
    lease::leader_lock::dependencies right;
    duty_port& port;
    std::string holder;  ///< Name that reports carry.
    std::function<std::int64_t()> time_of_day_ms;
    write_by_peer by_peer;
  };
  usage_service(dependencies deps, const usage_options& options);

  void start();
  void onBegun(const TenantId& tenant, Instant at) override;
  /** The row that says what true time is. */
  void onClockRow(const table::Row& row);
  void onRightRow(const table::Row& row) { this->lock_.onRow(row); }
  void onRightGone() { this->lock_.onGone(); }
  /** The table was read: unless told, there is no row of the right. */
  void onTableRead() { this->table_read_ = true; }
  bool holdsRight() const { return this->lock_.held(); }
  /** Gives the right up; counts go on being written. */
  Task<void> handOver();
  /** @return whether counts wait to be written. */
  bool unsaved() const { return !this->counter_.idle(); }
  const usage_totals& totals() const { return this->totals_; }

 private:
  /** What was decided last, as its row tells. */
  struct progress {
    Revision revision = 0;  ///< Of the row; 0: nothing was ever decided.
    usage_report report;
    bool taken = false;  ///< The platform took it from this holder.
  };

  bool enabled() const { return this->options_.window > Duration::zero(); }
  /** @return the windows of true time, once that is known. */
  std::optional<windows> trueWindows() const;
  std::optional<window_number> windowAt(Instant at) const;
  Task<void> writeLoop();
  Task<void> writeCounts();
  void onWritten(const std::vector<window_number>& written,
                 const std::vector<std::uint64_t>& changes, const table::TransactionAnswer& answer);
  /** Adds a sample of this daemon's clock to a write, if one is due. */
  void addSample(Instant now, table::Write& write);
  Task<void> rightLoop();
  Task<void> reportLoop();
  /** Does the next thing that is due. */
  Task<void> reportNext();
  Task<bool> readProgress();
  /** Decides on true time, or corrects it. */
  Task<void> settleClock();
  bool due(Instant now, window_number window) const;
  Task<void> decide(window_number window);
  /** Removes rows that nobody needs any more. */
  Task<void> removeRows(std::vector<std::string> keys);
  Task<void> send();

  dependencies deps_;
  usage_options options_;
  usage_counter counter_;
  usage_totals totals_;
  lease::leader_lock lock_;
  Signal counted_;
  std::optional<std::int64_t> offset_ms_;  ///< True time less the store's clock, as agreed.
  Revision clock_revision_ = 0;
  Instant sampled_at_{};
  std::optional<progress> progress_;  ///< Empty while this holder has not read it.
  Instant clock_checked_at_{};
  Instant acquired_at_{};
  Instant store_back_at_{};  ///< The store is known to answer since then.
  bool was_able_ = false;    ///< Whether this daemon could act under the right lately.
  bool table_read_ = false;
};

}  // namespace linenpier::usage
