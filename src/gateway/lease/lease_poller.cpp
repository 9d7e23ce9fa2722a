#include "gateway/lease/lease_poller.h"

#include "common/event_log.h"
#include "gateway/table/store_keys.h"

namespace linenpier::lease {

namespace {

constexpr std::uint64_t kJitterSteps = 1000;
/// Average number of reads of a daemon per attempt to remove stale rows. All daemons see the same
/// stale rows, so not every read needs an attempt.
constexpr std::uint64_t kReadsPerRemoval = 10;
constexpr std::size_t kMaxRowsRemoved = 50;  ///< Maximum number of rows removed by one write.

}  // namespace

void lease_poller::start(std::function<void(bool healthy)> on_health) {
  this->on_health_ = std::move(on_health);
  spawn(this->loop_, [this] { return this->run(); });
}

Duration lease_poller::nextInterval(bool answered) {
  const bool urgent =
      !answered || this->pool_.isCandidate() || this->leases_.anySuspect(steadyNow());
  const Duration mean = urgent ? this->options_.suspect_interval : this->options_.interval;
  const auto step = static_cast<std::int64_t>(this->random_.below(kJitterSteps));
  return mean * 2 / 3 + mean * 2 / 3 * step / static_cast<std::int64_t>(kJitterSteps);
}

Task<void> lease_poller::run() {
  for (;;) {
    const bool answered = co_await this->readAll();
    if (answered && this->random_.below(kReadsPerRemoval) == 0) {
      co_await this->removeStaleRows();
    }
    const Duration interval = this->nextInterval(answered);
    co_await this->retry_now_.waitFor(interval);
  }
}

Task<bool> lease_poller::readAll() {
  const Instant sent_at = steadyNow();
  std::map<LeaseId, lease_row> rows;
  table::RowRange range{table::kLeaseTable, "", "", 0};
  for (;;) {
    auto page = co_await this->table_.read(range);
    if (!page) {
      // A rate-limited read shows that the store is reachable, and the caller should read less
      // often.
      const bool rate_limited = page.error().failure == CallFailure::kRateLimited;
      if (!rate_limited) this->on_health_(false);
      co_return rate_limited;
    }
    this->keeper_.onStoreClock(steadyNow(), page->clock_ms);
    for (const table::Row& row : page->rows) {
      const LeaseId lease(row.key.substr(table::kLeaseTable.size() + 1));
      rows[lease] = decodeLeaseRow(row.revision, row.value);
    }
    if (!table::advancePast(*page, range)) break;
  }
  this->leases_.onRead(sent_at, steadyNow(), rows);
  this->on_health_(true);
  co_return true;
}

Task<void> lease_poller::removeStaleRows() {
  std::vector<LeaseId> stale = this->leases_.removable(steadyNow());
  if (stale.empty()) co_return;
  if (stale.size() > kMaxRowsRemoved) stale.resize(kMaxRowsRemoved);
  table::Write write;
  for (const LeaseId& lease : stale) write.removes.push_back(table::leaseKey(lease));
  const auto answer = co_await this->table_.write(std::move(write));
  logging::LogEvent("lease", "forgotten_removed")
      .number("rows", static_cast<std::int64_t>(stale.size()))
      .text("outcome", answer ? "done" : "not_done");
}

}  // namespace linenpier::lease
