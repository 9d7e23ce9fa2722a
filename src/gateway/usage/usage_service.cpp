#include "gateway/usage/usage_service.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/table/store_keys.h"

namespace linenpier::usage {

using logging::LogEvent;

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
/// At a daemon that does not hold the right: a look whether nobody does.
constexpr Duration kIdleTick = std::chrono::milliseconds(500);
/// Between two looks whether a sample of the clock is due.
constexpr Duration kIdleWrite = std::chrono::seconds(1);
constexpr Duration kClockPeriod = std::chrono::seconds(10);  ///< Between two looks at true time.
constexpr Duration kRefusedPause = std::chrono::milliseconds(300);
/// The store takes 100 entries a write: a condition and a value a window, or what is removed.
constexpr std::size_t kMaxWindowsAtOnce = 20;
constexpr std::size_t kMaxRemovedAtOnce = 90;
/// Windows that stay in memory, for writes whose answer comes late.
constexpr window_number kKeptWindows = 4;

}  // namespace

const char* toText(DutyAnswer answer) {
  switch (answer) {
    case DutyAnswer::kTaken:
      return "taken";
    case DutyAnswer::kFenced:
      return "fenced";
    case DutyAnswer::kRefused:
      return "refused";
    case DutyAnswer::kUnknown:
      return "unknown";
  }
  return "unknown";
}

usage_service::usage_service(dependencies deps, const usage_options& options)
    : deps_(std::move(deps)),
      options_(options),
      lock_(deps_.right, "usage", table::lockKey("usage"), options.handover,
            [this](bool held) {
              this->progress_.reset();
              if (held) this->acquired_at_ = steadyNow();
            }),
      counted_(deps_.right.loop) {}

void usage_service::start() {
  if (!this->enabled()) return;
  spawn(this->deps_.right.loop, [this] { return this->writeLoop(); });
  spawn(this->deps_.right.loop, [this] { return this->rightLoop(); });
  spawn(this->deps_.right.loop, [this] { return this->reportLoop(); });
}

// --- Counting -----------------------------------------------------------------------------------

void usage_service::onBegun(const TenantId& tenant, Instant at) {
  if (!this->enabled()) return;
  if (!this->counter_.onBegun(at, tenant)) {
    if (this->totals_.dropped++ == 0) LogEvent("usage", "too_many_wait");
    return;
  }
  ++this->totals_.counted;
  this->counted_.notifyAll();
}

void usage_service::onClockRow(const table::Row& row) {
  if (row.revision <= this->clock_revision_) return;
  this->clock_revision_ = row.revision;
  this->offset_ms_ = std::strtoll(row.value.c_str(), nullptr, 10);
}

std::optional<windows> usage_service::trueWindows() const {
  if (!this->offset_ms_) return std::nullopt;
  return windows(this->options_.window, *this->offset_ms_);
}

std::optional<window_number> usage_service::windowAt(Instant at) const {
  const auto all = this->trueWindows();
  const std::int64_t store_ms = this->deps_.right.keeper.storeClock(at);
  if (!all || store_ms == 0) return std::nullopt;
  return all->at(store_ms);
}

void usage_service::addSample(Instant now, table::Write& write) {
  const std::int64_t store_ms = this->deps_.right.keeper.storeClock(now);
  const bool taken = this->sampled_at_ != Instant{};
  if (store_ms == 0 || (taken && now - this->sampled_at_ < this->options_.sample_period)) return;
  const clock_sample sample{this->deps_.time_of_day_ms() - store_ms, store_ms};
  write.transaction.puts.push_back(
      {table::clockSampleKey(this->deps_.holder), encodeSample(sample)});
}

Task<void> usage_service::writeLoop() {
  for (;;) {
    if (this->counter_.idle()) {
      co_await this->counted_.waitFor(kIdleWrite);
    }
    const bool asked = !this->counter_.idle();
    co_await this->writeCounts();
    if (!asked) continue;
    const bool settled = this->counter_.unsaved().empty();
    co_await sleepFor(this->deps_.right.loop,
                      settled ? this->options_.write_gap : this->options_.retry_pause);
  }
}

Task<void> usage_service::writeCounts() {
  const Instant now = steadyNow();
  this->counter_.assign([this](Instant at) { return this->windowAt(at); });
  std::vector<window_number> unsaved = this->counter_.unsaved();
  if (unsaved.size() > kMaxWindowsAtOnce) unsaved.resize(kMaxWindowsAtOnce);
  table::Write write;
  std::vector<std::uint64_t> changes;
  for (const window_number window : unsaved) {
    const window_counts& counts = this->counter_.of(window);
    const std::string key = table::usageKey(window, this->deps_.right.leases.own());
    write.transaction.checks.push_back({key, counts.revision});
    write.transaction.puts.push_back({key, encodeCounts(counts.counts)});
    changes.push_back(counts.changes);
  }
  const std::size_t rows = write.transaction.puts.size();
  this->addSample(now, write);
  const bool sampled = write.transaction.puts.size() > rows;
  if (write.transaction.puts.empty()) co_return;
  const auto answer = co_await this->deps_.right.table.write(write);
  std::optional<table::TransactionAnswer> settled;
  if (answer) settled = *answer;
  if (!settled && rows > 0) {
    settled = co_await this->deps_.by_peer(std::move(write));
  }
  if (!settled) {
    LogEvent("usage", "not_written")
        .number("windows", static_cast<std::int64_t>(rows))
        .number("first", unsaved.empty() ? 0 : unsaved.front());
    co_return;
  }
  if (settled->committed && sampled) this->sampled_at_ = now;
  this->onWritten(unsaved, changes, *settled);
  if (const auto current = this->windowAt(now)) {
    this->counter_.forgetBefore(*current - kKeptWindows);
  }
}

void usage_service::onWritten(const std::vector<window_number>& written,
                              const std::vector<std::uint64_t>& changes,
                              const table::TransactionAnswer& answer) {
  for (std::size_t i = 0; i < written.size(); ++i) {
    window_counts& counts = this->counter_.of(written[i]);
    if (answer.committed) {
      counts.revision = answer.revision;
      counts.stored = std::max(counts.stored, changes[i]);
      continue;
    }
    const std::string key = table::usageKey(written[i], this->deps_.right.leases.own());
    const auto row = std::find_if(answer.conflicts.begin(), answer.conflicts.end(),
                                  [&key](const table::Row& each) { return each.key == key; });
    const bool present = row != answer.conflicts.end();
    if (!present && counts.revision > 0) {
      // The window was added up and its rows were removed.
      const std::uint64_t missed = counts.changes - counts.stored;
      this->totals_.late += missed;
      counts.stored = counts.changes;
      LogEvent("usage", "counted_too_late")
          .number("window", written[i])
          .number("requests", static_cast<std::int64_t>(missed));
    }
    counts.revision = present ? row->revision : 0;
  }
}

// --- Reporting ----------------------------------------------------------------------------------

Task<void> usage_service::rightLoop() {
  for (;;) {
    co_await sleepFor(this->deps_.right.loop, this->lock_.held() ? kTick : kIdleTick);
    const Instant now = steadyNow();
    if (!this->deps_.right.leases.storeHealthy()) this->store_back_at_ = now;
    this->lock_.onTick(now, this->table_read_);
  }
}

Task<void> usage_service::reportLoop() {
  for (;;) {
    co_await sleepFor(this->deps_.right.loop, this->lock_.held() ? kTick : kIdleTick);
    const Instant now = steadyNow();
    const bool able = this->lock_.mayAct(now);
    // Whoever could not prove its right did not reach the store, and others may not have either.
    if (able && !this->was_able_) this->store_back_at_ = now;
    this->was_able_ = able;
    if (able) {
      co_await this->reportNext();
    }
  }
}

Task<void> usage_service::reportNext() {
  if (!this->progress_ && !co_await this->readProgress()) co_return;
  const Instant now = steadyNow();
  if (now - this->clock_checked_at_ >= kClockPeriod || !this->offset_ms_) {
    co_await this->settleClock();
  }
  if (!this->progress_ || !this->offset_ms_) co_return;
  const bool any = this->progress_->revision > 0;
  if (any && !this->progress_->taken) {
    co_await this->send();
    co_return;
  }
  const auto current = this->windowAt(now);
  if (!current) co_return;
  const window_number next = any ? this->progress_->report.window + 1 : *current - 1;
  // The first one only says where reports begin: it holds nothing that could come late.
  if (!any || this->due(now, next)) {
    co_await this->decide(next);
  }
}

bool usage_service::due(Instant now, window_number window) const {
  const std::int64_t end_ms = this->trueWindows()->endOf(window);
  const Duration since =
      std::chrono::milliseconds(this->deps_.right.keeper.storeClock(now) - end_ms);
  if (since < this->options_.settle) return false;
  const bool back = now - this->store_back_at_ >= this->options_.settle_after_outage;
  return back || since >= this->options_.latest;
}

Task<bool> usage_service::readProgress() {
  const table::RowRange range = table::onlyRow(table::kUsageTable, table::kUsageProgress);
  const auto page = co_await this->deps_.right.table.read(range);
  if (!page) co_return false;
  progress read;
  if (!page->rows.empty()) {
    const table::Row& row = page->rows.front();
    const std::size_t separator = row.value.find(' ');
    read.revision = row.revision;
    read.report.window = std::strtoll(row.value.c_str(), nullptr, 10);
    if (separator != std::string::npos) {
      read.report.counts = decodeCounts(row.value.substr(separator + 1)).value_or(tenant_counts{});
    }
  }
  this->progress_ = read;
  LogEvent("usage", "progress_read")
      .number("window", read.report.window)
      .number("revision", static_cast<std::int64_t>(read.revision));
  co_return true;
}

Task<void> usage_service::settleClock() {
  const Instant now = steadyNow();
  if (!this->offset_ms_ && now - this->acquired_at_ < this->options_.first_samples) co_return;
  const std::int64_t store_ms = this->deps_.right.keeper.storeClock(now);
  table::RowRange range{table::kClockTable, "", "", 0};
  std::vector<clock_sample> samples;
  for (;;) {
    const auto page = co_await this->deps_.right.table.read(range);
    if (!page) co_return;
    for (const table::Row& row : page->rows) {
      if (const auto sample = decodeSample(row.value)) samples.push_back(*sample);
    }
    if (!table::moveBehind(*page, range)) break;
  }
  this->clock_checked_at_ = now;
  const std::int64_t lifetime_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->options_.sample_lifetime).count();
  const auto median = medianOffset(samples, store_ms - lifetime_ms);
  if (!median) co_return;
  const bool good = this->offset_ms_ &&
                    std::abs(*median - *this->offset_ms_) < this->options_.worth_correcting_ms;
  if (good) co_return;
  table::Write write;
  write.transaction.checks.push_back(this->lock_.condition());
  write.transaction.checks.push_back({table::clockKey(), this->clock_revision_});
  write.transaction.puts.push_back({table::clockKey(), std::to_string(*median)});
  const auto answer = co_await this->deps_.right.table.write(std::move(write));
  const bool done = answer && answer->committed;
  LogEvent("usage", "true_time")
      .number("samples", static_cast<std::int64_t>(samples.size()))
      .number("offset_ms", *median)
      .number("before_ms", this->offset_ms_.value_or(0))
      .text("outcome", done ? "written" : "not_written");
  if (done) this->onClockRow({table::clockKey(), answer->revision, std::to_string(*median)});
}

Task<void> usage_service::decide(window_number window) {
  tenant_counts sum;
  std::size_t daemons = 0;
  std::vector<std::string> obsolete;  // Rows of windows that were decided before, by any holder.
  const std::string prefix = table::usageKeyPrefix(window);
  table::RowRange range{table::kUsageTable, table::kUsageRows, table::usageWindowPrefix(window + 1),
                        0};
  for (;;) {
    const auto page = co_await this->deps_.right.table.read(range);
    if (!page) co_return;
    for (const table::Row& row : page->rows) {
      if (!row.key.starts_with(prefix)) {
        obsolete.push_back(row.key);
        continue;
      }
      ++daemons;
      const auto counts = decodeCounts(row.value);
      if (counts) addCounts(*counts, sum);
      if (!counts) LogEvent("usage", "bad_row").text("key", row.key);
    }
    if (!table::moveBehind(*page, range)) break;
  }
  if (!this->progress_ || !this->lock_.mayAct(steadyNow())) co_return;
  progress next;
  next.report = {window, std::move(sum)};
  const std::string value = std::to_string(window) + " " + encodeCounts(next.report.counts);
  const std::string key = table::kUsageTable + "/" + table::kUsageProgress;
  table::Write write;
  write.transaction.checks.push_back(this->lock_.condition());
  write.transaction.checks.push_back({key, this->progress_->revision});
  write.transaction.puts.push_back({key, value});
  const auto answer = co_await this->deps_.right.table.write(std::move(write));
  const bool done = answer && answer->committed;
  std::uint64_t requests = 0;
  for (const auto& [tenant, count] : next.report.counts) requests += count;
  LogEvent("usage", "window_decided")
      .number("window", window)
      .number("daemons", static_cast<std::int64_t>(daemons))
      .number("tenants", static_cast<std::int64_t>(next.report.counts.size()))
      .number("requests", static_cast<std::int64_t>(requests))
      .text("outcome", done     ? "written"
                       : answer ? "conflict"
                                : "no_answer");
  if (!done) {
    // Whether it was written is read before anything else is decided.
    this->progress_.reset();
    co_return;
  }
  spawn(this->deps_.right.loop, [this, obsolete] { return this->removeRows(obsolete); });
  next.revision = answer->revision;
  this->progress_ = std::move(next);
  if (this->lock_.mayAct(steadyNow())) {
    co_await this->send();
  }
}

Task<void> usage_service::removeRows(std::vector<std::string> keys) {
  while (!keys.empty()) {
    const std::size_t first = keys.size() - std::min(keys.size(), kMaxRemovedAtOnce);
    table::Write write;
    write.removes.assign(keys.begin() + static_cast<std::ptrdiff_t>(first), keys.end());
    keys.resize(first);
    const auto answer = co_await this->deps_.right.table.write(std::move(write));
    if (!answer) {
      // The next window's decision finds them again.
      LogEvent("usage", "rows_not_removed").number("rows", static_cast<std::int64_t>(first));
      co_return;
    }
  }
}

Task<void> usage_service::send() {
  const usage_report report = this->progress_->report;
  const leader_proof right{this->deps_.holder, this->lock_.token(), this->lock_.mayActUntil()};
  const Instant sent_at = steadyNow();
  this->lock_.onActed(sent_at);
  const DutyAnswer answer = co_await this->deps_.port.reportUsage(report, right);
  const Duration took = steadyNow() - sent_at;
  LogEvent("usage", "report_answered")
      .number("window", report.window)
      .number("token", static_cast<std::int64_t>(right.token))
      .text("outcome", toText(answer))
      .milliseconds("took_ms", took);
  const bool same = this->progress_ && this->progress_->report.window == report.window;
  if (answer == DutyAnswer::kTaken) {
    ++this->totals_.reported;
    if (same) this->progress_->taken = true;
    co_return;
  }
  co_await sleepFor(this->deps_.right.loop, kRefusedPause);
}

Task<void> usage_service::handOver() {
  co_await this->lock_.handOver();
}

}  // namespace linenpier::usage
