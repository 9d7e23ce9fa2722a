#pragma once

/// @file
/// Watches one table of the store: reads all of it, then waits for changes, and reads it again if
/// the change history was truncated. Reported revisions never decrease.

#include <functional>
#include <string>
#include <vector>

#include "common/retry_backoff.h"
#include "common/task.h"
#include "gateway/table/async_table.h"

namespace linenpier::table {

struct WatcherOptions {
  Duration wait = std::chrono::seconds(2);  ///< Maximum wait of one call.
  /// Maximum wait of a call while the store is unhealthy. The wait is short, because the response
  /// shows that the store has recovered.
  Duration wait_while_unhealthy = std::chrono::milliseconds(20);
  /// Returns how long to wait after a response with changes before the next call, so that further
  /// changes arrive in one response; unset: no wait. Called after each response with changes,
  /// because the required freshness depends on what the daemon is doing.
  std::function<Duration()> coalesce = {};
  /// Initial and maximum backoff after a failed call.
  Duration retry_pause = std::chrono::milliseconds(150);
  Duration max_retry_pause = std::chrono::milliseconds(600);
  std::uint64_t seed = 1;  ///< Seed of the backoff's jitter.
};

/// Runs on the loop thread only.
class TableWatcher {
 public:
  struct Listener {
    /// Receives all rows of the table, as of one revision or later.
    std::function<void(const std::vector<Row>&)> on_snapshot;
    /// If set, receives the rows page by page as they are read, and `on_snapshot` receives none, so
    /// that a large table is not held in memory twice.
    std::function<void(const std::vector<Row>&, bool first_page)> on_page;
    std::function<void(const RowChange&)> on_change;
    std::function<void(bool healthy)> on_health;  ///< Called when the health changes.
    /// Receives the store's clock; may be empty.
    std::function<void(std::int64_t clock_ms)> on_clock;
  };

  TableWatcher(boost::asio::io_context& loop, AsyncTable& table, std::string name,
               WatcherOptions options, Listener listener)
      : loop_(loop),
        table_(table),
        name_(std::move(name)),
        options_(std::move(options)),
        listener_(std::move(listener)),
        backoff_(options_.retry_pause, options_.max_retry_pause, options_.seed),
        retry_now_(loop) {}

  void start();
  /// Retries a failed call at once. Called when the store has responded to another call.
  void retryNow() { retry_now_.notifyAll(); }
  bool healthy() const { return healthy_; }
  /// @return whether the table was read at least once.
  bool read() const { return ever_read_; }
  /// @return the revision up to which all changes were reported.
  Revision revision() const { return revision_; }
  /// @return when the store last responded for this table.
  Instant lastAnswer() const { return last_answer_; }
  /// @return the duration of the last outage of the store, set when the outage ends.
  Duration lastOutage() const { return last_outage_; }

 private:
  Task<void> run();
  Task<bool> readWhole();
  /// Reads one page, with retries while rate-limited.
  Task<CallResult<RowPage>> readPage(RowRange range);
  Task<bool> waitForChanges();
  void setHealthy(bool healthy);

  boost::asio::io_context& loop_;
  AsyncTable& table_;
  std::string name_;
  WatcherOptions options_;
  Listener listener_;
  retry_backoff backoff_;
  Signal retry_now_;
  Revision revision_ = 0;  ///< Revision up to which all changes were reported.
  /// Whether changes can be watched from `revision_` without reading the table first.
  bool can_watch_ = false;
  bool ever_read_ = false;
  bool healthy_ = false;
  Instant last_answer_{};
  Duration last_outage_{};
};

}  // namespace linenpier::table
