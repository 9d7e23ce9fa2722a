#include "gateway/lease/lease_watch.h"

#include "common/event_log.h"
#include "gateway/table/store_keys.h"

namespace linenpier::lease {

namespace {
constexpr std::uint64_t kSpreadSteps = 1000;
/// Every daemon sees the rows that nobody needs; one in so many reads removes them.
constexpr std::uint64_t kRemoveOneIn = 10;
constexpr std::size_t kMaxRemovedAtOnce = 50;
}  // namespace

void lease_watch::start(std::function<void(bool healthy)> on_health) {
  this->on_health_ = std::move(on_health);
  spawn(this->loop_, [this] { return this->run(); });
}

Duration lease_watch::nextPause(bool answered) {
  const bool hurry = !answered || this->pool_.offers() || this->leases_.anySuspect(steadyNow());
  const Duration period = hurry ? this->options_.suspect_period : this->options_.period;
  const auto step = static_cast<std::int64_t>(this->random_.below(kSpreadSteps));
  return period * 2 / 3 + period * 2 / 3 * step / static_cast<std::int64_t>(kSpreadSteps);
}

Task<void> lease_watch::run() {
  for (;;) {
    // A refusal for too many calls asks for fewer, not for a hurry.
    const bool answered = co_await this->readAll();
    if (answered && this->random_.below(kRemoveOneIn) == 0) {
      co_await this->removeForgotten();
    }
    const Duration pause = this->nextPause(answered);
    co_await this->retry_now_.waitFor(pause);
  }
}

Task<bool> lease_watch::readAll() {
  const Instant sent_at = steadyNow();
  std::map<LeaseId, LeaseRow> rows;
  table::RowRange range{table::kLeaseTable, "", "", 0};
  for (;;) {
    auto page = co_await this->table_.read(range);
    if (!page) {
      // Too many calls of all daemons say nothing of this daemon's way to the store.
      const bool refused = page.error().failure == CallFailure::kRateLimited;
      if (!refused) this->on_health_(false);
      co_return refused;
    }
    this->keeper_.onStoreClock(steadyNow(), page->clock_ms);
    for (const table::Row& row : page->rows) {
      const LeaseId lease(row.key.substr(table::kLeaseTable.size() + 1));
      rows[lease] = decodeLeaseRow(row.revision, row.value);
    }
    if (!table::moveBehind(*page, range)) break;
  }
  this->leases_.onRead(sent_at, steadyNow(), rows);
  this->on_health_(true);
  co_return true;
}

Task<void> lease_watch::removeForgotten() {
  std::vector<LeaseId> forgotten = this->leases_.forgotten(steadyNow());
  if (forgotten.empty()) co_return;
  if (forgotten.size() > kMaxRemovedAtOnce) forgotten.resize(kMaxRemovedAtOnce);
  table::Write write;
  for (const LeaseId& lease : forgotten) write.removes.push_back(table::leaseKey(lease));
  const auto answer = co_await this->table_.write(std::move(write));
  logging::LogEvent("lease", "forgotten_removed")
      .number("rows", static_cast<std::int64_t>(forgotten.size()))
      .text("outcome", answer ? "done" : "not_done");
}

}  // namespace linenpier::lease
