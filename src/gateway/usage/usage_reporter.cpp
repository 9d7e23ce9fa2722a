#include "gateway/usage/usage_reporter.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/table/store_keys.h"

namespace linenpier::usage {

using logging::LogEvent;

namespace {

constexpr char kLockName[] = "usage";
/// Time between two ticks of the leader.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/// Time between two ticks of a daemon that is not the leader and checks whether the lock is free.
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(500);
/// Wait after a report that the platform did not accept.
constexpr Duration kRefusedBackoff = std::chrono::milliseconds(300);
/// Maximum number of rows removed by one write. The store accepts 100 entries per write.
constexpr std::size_t kMaxRemovedAtOnce = 90;

}  // namespace

usage_reporter::usage_reporter(dependencies deps, const usage_options& options)
    : deps_(std::move(deps)),
      options_(options),
      lock_(deps_.lock, kLockName, table::lockKey(kLockName), options.handover, [this](bool held) {
        this->progress_.reset();
        if (held) this->acquired_at_ = steadyNow();
      }) {}

void usage_reporter::start() {
  spawn(this->deps_.lock.loop, [this] { return this->lockLoop(); });
  spawn(this->deps_.lock.loop, [this] { return this->reportLoop(); });
}

Task<void> usage_reporter::lockLoop() {
  for (;;) {
    co_await sleepFor(this->deps_.lock.loop,
                      this->lock_.held() ? kTickInterval : kIdleTickInterval);
    const Instant now = steadyNow();
    if (!this->deps_.lock.leases.storeHealthy()) this->store_recovered_at_ = now;
    this->lock_.onTick(now, this->table_read_);
  }
}

Task<void> usage_reporter::reportLoop() {
  for (;;) {
    co_await sleepFor(this->deps_.lock.loop,
                      this->lock_.held() ? kTickInterval : kIdleTickInterval);
    const Instant now = steadyNow();
    const bool able = this->lock_.mayAct(now);
    // A leader that could not confirm its lock did not reach the store. Other daemons may not have
    // reached the store either.
    if (able && !this->could_act_) this->store_recovered_at_ = now;
    this->could_act_ = able;
    if (able) {
      co_await this->reportNext();
    }
  }
}

Task<void> usage_reporter::reportNext() {
  if (!this->progress_) {
    const bool read = co_await this->readProgress();
    if (!read) co_return;
  }
  const Instant now = steadyNow();
  if (this->deps_.clock.synchronizationDue(now)) {
    co_await this->deps_.clock.synchronize(this->lock_, this->acquired_at_);
  }
  if (!this->progress_ || !this->deps_.clock.known()) co_return;
  const bool any_committed = this->progress_->revision > 0;
  if (any_committed && !this->progress_->accepted) {
    co_await this->send();
    co_return;
  }
  const auto current = this->deps_.clock.windowAt(now);
  if (!current) co_return;
  const window_number next = any_committed ? this->progress_->report.window + 1 : *current - 1;
  // The first report only marks the window after which reporting starts, so it need not wait for
  // delayed counts.
  if (!any_committed || this->due(now, next)) {
    co_await this->commitReport(next);
  }
}

bool usage_reporter::due(Instant now, window_number window) const {
  const std::int64_t end_ms = this->deps_.clock.usageWindows()->endOf(window);
  const std::int64_t now_ms = this->deps_.lock.keeper.storeClock(now);
  const Duration since = std::chrono::milliseconds(now_ms - end_ms);
  if (since < this->options_.settle) return false;
  const bool settled = now - this->store_recovered_at_ >= this->options_.settle_after_outage;
  return settled || since >= this->options_.max_settle;
}

Task<bool> usage_reporter::readProgress() {
  const table::RowRange range = table::singleRow(table::kUsageTable, table::kUsageProgress);
  const auto page = co_await this->deps_.lock.table.read(range);
  if (!page) co_return false;
  usage_progress read;
  if (!page->rows.empty()) {
    const table::Row& row = page->rows.front();
    read = decodeProgress(row.revision, row.value);
  }
  this->progress_ = read;
  LogEvent("usage", "progress_read")
      .number("window", read.report.window)
      .number("revision", static_cast<std::int64_t>(read.revision));
  co_return true;
}

Task<std::optional<usage_reporter::window_sum>> usage_reporter::sumWindow(window_number window) {
  window_sum sum;
  sum.report.window = window;
  const std::string prefix = table::usageKeyPrefix(window);
  table::RowRange range{table::kUsageTable, table::kUsageRowPrefix,
                        table::usageWindowPrefix(window + 1), 0};
  for (;;) {
    const auto page = co_await this->deps_.lock.table.read(range);
    if (!page) co_return std::nullopt;
    for (const table::Row& row : page->rows) {
      if (!row.key.starts_with(prefix)) {
        sum.obsolete.push_back(row.key);
        continue;
      }
      ++sum.daemons;
      const auto counts = decodeCounts(row.value);
      if (counts) addCounts(*counts, sum.report.counts);
      if (!counts) LogEvent("usage", "bad_row").text("key", row.key);
    }
    if (!table::advancePast(*page, range)) break;
  }
  co_return sum;
}

Task<bool> usage_reporter::closeWindow(window_number window) {
  table::Write write;
  write.transaction.checks.push_back(this->lock_.condition());
  write.transaction.puts.push_back({table::closedUsageKey(), std::to_string(window)});
  const auto answer = co_await this->deps_.lock.table.write(std::move(write));
  const bool closed = answer && answer->committed;
  if (!closed) LogEvent("usage", "window_not_closed").number("window", window);
  co_return closed;
}

Task<void> usage_reporter::commitReport(window_number window) {
  const bool closed = co_await this->closeWindow(window);
  if (!closed) co_return;
  const auto sum = co_await this->sumWindow(window);
  if (!sum || !this->progress_ || !this->lock_.mayAct(steadyNow())) co_return;
  const std::string key = table::kUsageTable + "/" + table::kUsageProgress;
  table::Write write;
  write.transaction.checks.push_back(this->lock_.condition());
  write.transaction.checks.push_back({key, this->progress_->revision});
  write.transaction.puts.push_back({key, encodeProgress(sum->report)});
  const auto answer = co_await this->deps_.lock.table.write(std::move(write));
  const bool done = answer && answer->committed;
  std::uint64_t requests = 0;
  for (const auto& [tenant, count] : sum->report.counts) requests += count;
  LogEvent("usage", "window_decided")
      .number("window", window)
      .number("daemons", static_cast<std::int64_t>(sum->daemons))
      .number("tenants", static_cast<std::int64_t>(sum->report.counts.size()))
      .number("requests", static_cast<std::int64_t>(requests))
      .text("outcome", done     ? "written"
                       : answer ? "conflict"
                                : "no_answer");
  if (!done) {
    // The outcome of the write may be unknown, so the progress row is read before the next report.
    this->progress_.reset();
    co_return;
  }
  const std::vector<std::string> obsolete = sum->obsolete;
  spawn(this->deps_.lock.loop, [this, obsolete] { return this->removeRows(obsolete); });
  this->progress_ = usage_progress{answer->revision, sum->report, false};
  if (this->lock_.mayAct(steadyNow())) {
    co_await this->send();
  }
}

Task<void> usage_reporter::removeRows(std::vector<std::string> keys) {
  while (!keys.empty()) {
    const std::size_t first = keys.size() - std::min(keys.size(), kMaxRemovedAtOnce);
    table::Write write;
    write.removes.assign(keys.begin() + static_cast<std::ptrdiff_t>(first), keys.end());
    keys.resize(first);
    const auto answer = co_await this->deps_.lock.table.write(std::move(write));
    if (!answer) {
      // The report of the next window removes the remaining rows.
      LogEvent("usage", "rows_not_removed").number("rows", static_cast<std::int64_t>(first));
      co_return;
    }
  }
}

Task<void> usage_reporter::send() {
  const usage_report report = this->progress_->report;
  const fenced_call_context context{this->deps_.holder, this->lock_.token(),
                                    this->lock_.mayActUntil()};
  const Instant sent_at = steadyNow();
  this->lock_.recordAction(sent_at);
  const FencedCallResult answer = co_await this->deps_.port.reportUsage(report, context);
  const Duration took = steadyNow() - sent_at;
  LogEvent("usage", "report_answered")
      .number("window", report.window)
      .number("token", static_cast<std::int64_t>(context.token))
      .text("outcome", toText(answer))
      .milliseconds("took_ms", took);
  const bool same = this->progress_ && this->progress_->report.window == report.window;
  if (answer == FencedCallResult::kAccepted) {
    ++this->total_reported_;
    if (same) this->progress_->accepted = true;
    co_return;
  }
  co_await sleepFor(this->deps_.lock.loop, kRefusedBackoff);
}

}  // namespace linenpier::usage
