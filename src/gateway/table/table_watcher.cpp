#include "gateway/table/table_watcher.h"

#include <algorithm>
#include <iterator>

#include "common/event_log.h"

namespace linenpier::table {

void TableWatcher::start() {
  spawn(loop_, [this] { return run(); });
}

void TableWatcher::setHealthy(bool healthy) {
  const Instant now = steadyNow();
  const Duration outage = ever_read_ ? now - last_answer_ : Duration::zero();
  if (healthy && !healthy_) last_outage_ = outage;
  if (healthy) last_answer_ = now;
  if (healthy == healthy_) return;
  healthy_ = healthy;
  logging::LogEvent("store", healthy ? "feed_regained" : "feed_lost")
      .text("table", name_)
      .number("revision", static_cast<std::int64_t>(revision_))
      .milliseconds("silent_ms", outage);
  listener_.on_health(healthy);
}

Task<void> TableWatcher::run() {
  for (;;) {
    const bool done = can_watch_ ? co_await waitForChanges() : co_await readWhole();
    if (done) {
      backoff_.onSuccess();
      continue;
    }
    const Duration pause = backoff_.onFailure();
    co_await retry_now_.waitFor(pause);
  }
}

Task<CallResult<RowPage>> TableWatcher::readPage(RowRange range) {
  // Restarting the read of a large table after one rate-limited page would increase the load that
  // causes the limiting.
  constexpr int kMaxTries = 8;
  for (int tries = 1;; ++tries) {
    auto page = co_await table_.read(range);
    const bool refused = !page && page.error().failure == CallFailure::kRateLimited;
    if (!refused || tries == kMaxTries) co_return page;
    const Duration pause = backoff_.onFailure();
    co_await sleepFor(loop_, pause);
  }
}

Task<bool> TableWatcher::readWhole() {
  std::vector<Row> rows;
  Revision revision = 0;
  RowRange range{name_, "", "", 0};
  for (;;) {
    auto page = co_await readPage(range);
    if (!page) {
      if (page.error().failure != CallFailure::kRateLimited) setHealthy(false);
      co_return false;
    }
    const bool first_page = revision == 0;
    if (first_page) revision = page->revision;
    // The page is older than the changes that were already reported, so it is discarded.
    if (page->revision < revision_) co_return false;
    if (listener_.on_clock) listener_.on_clock(page->clock_ms);
    const bool more = advancePast(*page, range);
    if (listener_.on_page) {
      listener_.on_page(page->rows, first_page);
    } else {
      std::move(page->rows.begin(), page->rows.end(), std::back_inserter(rows));
    }
    if (!more) break;
  }
  revision_ = revision;
  can_watch_ = true;
  setHealthy(true);
  ever_read_ = true;
  listener_.on_snapshot(rows);
  co_return true;
}

Task<bool> TableWatcher::waitForChanges() {
  const Duration wait = healthy_ ? options_.wait : options_.wait_while_unhealthy;
  auto batch = co_await table_.watch(name_, revision_, wait);
  if (!batch) {
    if (batch.error().failure != CallFailure::kRateLimited) setHealthy(false);
    co_return false;
  }
  if (batch->history_truncated) {
    can_watch_ = false;
    co_return true;
  }
  setHealthy(true);
  for (const RowChange& change : batch->changes) listener_.on_change(change);
  revision_ = std::max(revision_, batch->revision);
  if (batch->changes.empty() || !options_.coalesce) co_return true;
  const Duration pause = options_.coalesce();
  if (pause > Duration::zero()) {
    co_await sleepFor(loop_, pause);
  }
  co_return true;
}

}  // namespace linenpier::table
