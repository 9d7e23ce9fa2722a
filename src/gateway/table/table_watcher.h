#pragma once

/// @file
/// Follows one table of the store: reads it whole, then waits for changes, and begins anew where
/// the history was lost. What it tells never goes back in time.

#include <functional>
#include <string>
#include <vector>

#include "common/retry_backoff.h"
#include "common/task.h"
#include "gateway/table/async_table.h"

namespace linenpier::table {

struct WatcherOptions {
  Duration wait = std::chrono::seconds(2);  ///< Of one call.
  /// Of a call while the feed counts as lost: its answer shows that the store is back.
  Duration wait_while_unhealthy = std::chrono::milliseconds(20);
  /// Pause after changes, so that more come at once; empty: none. Asked after each answer, since
  /// what the daemon does decides how fresh it must be.
  std::function<Duration()> coalesce = {};
  /// Before a call is made again that failed, and at most.
  Duration retry_pause = std::chrono::milliseconds(150);
  Duration max_retry_pause = std::chrono::milliseconds(600);
  std::uint64_t seed = 1;  ///< Of the spread of those pauses.
};

/// Loop thread only.
class TableWatcher {
 public:
  struct Listener {
    std::function<void(const std::vector<Row>&)>
        on_snapshot;  ///< All rows, as of one moment or later.
    /// Where it is set, rows of the whole table are told here page by page as they come, and
    /// `on_snapshot` is told none: a large table is never held twice.
    std::function<void(const std::vector<Row>&, bool first_page)> on_page;
    std::function<void(const RowChange&)> on_change;
    std::function<void(bool healthy)> on_health;          ///< Called on each change only.
    std::function<void(std::int64_t clock_ms)> on_clock;  ///< May be empty.
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
  /// The store was heard of elsewhere: a call that waits to be made again is made now.
  void retryNow() { retry_now_.notifyAll(); }
  bool healthy() const { return healthy_; }
  /// @return whether the table was ever read.
  bool read() const { return ever_read_; }
  /// @return everything up to here was told.
  Revision revision() const { return revision_; }
  /// @return when the store last answered for this table.
  Instant lastAnswer() const { return last_answer_; }
  /// @return how long the store had not answered when it last came back.
  Duration lastOutage() const { return last_outage_; }

 private:
  Task<void> run();
  Task<bool> readWhole();
  /// Reads one page, again and again while the store takes no more calls.
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
  Revision revision_ = 0;   ///< Everything up to here was told.
  bool have_rows_ = false;  ///< Whether `revision_` may be continued from.
  bool ever_read_ = false;
  bool healthy_ = false;
  Instant last_answer_{};
  Duration last_outage_{};
};

}  // namespace linenpier::table
