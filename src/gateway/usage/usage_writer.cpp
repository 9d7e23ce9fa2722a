#include "gateway/usage/usage_writer.h"

#include <algorithm>
#include <cstdlib>

#include "common/event_log.h"
#include "gateway/table/store_keys.h"

namespace linenpier::usage {

using logging::LogEvent;

namespace {

/// Time between two checks for a due clock sample while there are no counts to write.
constexpr Duration kIdleWriteInterval = std::chrono::seconds(1);
/// The store accepts 100 entries per write: a check and a put for each window, and a sample.
constexpr std::size_t kMaxWindowsAtOnce = 20;
/// Number of windows kept in memory for writes whose response is delayed.
constexpr window_number kKeptWindows = 4;

}  // namespace

void usage_writer::start() {
  spawn(this->deps_.loop, [this] { return this->writeLoop(); });
}

void usage_writer::onRequestStarted(const TenantId& tenant, Instant at) {
  if (!this->counter_.onRequestStarted(at, tenant)) {
    if (this->total_dropped_++ == 0) LogEvent("usage", "too_many_wait");
    return;
  }
  ++this->total_counted_;
  this->counted_.notifyAll();
}

Task<void> usage_writer::writeLoop() {
  for (;;) {
    if (this->counter_.idle()) {
      co_await this->counted_.waitFor(kIdleWriteInterval);
    }
    const bool any = !this->counter_.idle();
    co_await this->writeCounts();
    if (!any) continue;
    const bool saved = this->counter_.unsaved().empty();
    co_await sleepFor(this->deps_.loop,
                      saved ? this->options_.write_interval : this->options_.retry_backoff);
  }
}

std::vector<usage_writer::written_window> usage_writer::addUnsaved(Instant now,
                                                                   table::Write& write) {
  std::vector<window_number> unsaved = this->counter_.unsaved();
  if (unsaved.size() > kMaxWindowsAtOnce) unsaved.resize(kMaxWindowsAtOnce);
  std::vector<written_window> added;
  for (const window_number window : unsaved) {
    const window_counts& counts = this->counter_.of(window);
    const std::string key = table::usageKey(window, this->deps_.leases.own());
    write.transaction.checks.push_back({key, counts.revision});
    write.transaction.puts.push_back({key, encodeCounts(counts.counts)});
    added.push_back({window, counts.total});
  }
  const bool check_closed = std::any_of(added.begin(), added.end(), [&](const auto& each) {
    return this->mayBeClosed(now, each.window);
  });
  if (check_closed)
    write.transaction.checks.push_back({table::closedUsageKey(), this->closed_revision_});
  return added;
}

bool usage_writer::mayBeClosed(Instant now, window_number window) const {
  const auto windows = this->deps_.clock.usageWindows();
  if (!windows) return true;
  const std::int64_t store_ms = this->deps_.keeper.storeClock(now);
  const Duration since_end = std::chrono::milliseconds(store_ms - windows->endOf(window));
  // A write that is answered takes less than the other half.
  return since_end >= this->options_.settle / 2;
}

bool usage_writer::addSample(Instant now, table::Write& write) {
  const std::int64_t store_ms = this->deps_.keeper.storeClock(now);
  const bool ever_sampled = this->sampled_at_ != Instant{};
  const bool recent = ever_sampled && now - this->sampled_at_ < this->options_.sample_interval;
  if (store_ms == 0 || recent) return false;
  const clock_sample sample{this->deps_.time_of_day_ms() - store_ms, store_ms};
  write.transaction.puts.push_back(
      {table::clockSampleKey(this->deps_.daemon), encodeSample(sample)});
  return true;
}

Task<void> usage_writer::writeCounts() {
  const Instant now = steadyNow();
  this->counter_.assign([this](Instant at) { return this->deps_.clock.windowAt(at); });
  table::Write write;
  const std::vector<written_window> sent = this->addUnsaved(now, write);
  const bool sampled = this->addSample(now, write);
  if (write.transaction.puts.empty()) co_return;
  const auto answer = co_await this->deps_.table.write(write);
  std::optional<table::TransactionAnswer> settled_answer;
  if (answer) settled_answer = *answer;
  if (!settled_answer && !sent.empty()) {
    settled_answer = co_await this->deps_.by_peer(std::move(write));
  }
  if (!settled_answer) {
    LogEvent("usage", "not_written")
        .number("windows", static_cast<std::int64_t>(sent.size()))
        .number("first", sent.empty() ? 0 : sent.front().window);
    co_return;
  }
  if (settled_answer->committed && sampled) this->sampled_at_ = now;
  this->onWritten(sent, *settled_answer);
  if (const auto current = this->deps_.clock.windowAt(now)) {
    this->counter_.discardBefore(*current - kKeptWindows);
  }
}

void usage_writer::onWritten(const std::vector<written_window>& written,
                             const table::TransactionAnswer& answer) {
  const bool closed_changed = !answer.committed && this->readClosedWindow(answer);
  for (const written_window& each : written) {
    if (!answer.committed) {
      this->onConflict(each, answer, closed_changed);
      continue;
    }
    window_counts& counts = this->counter_.of(each.window);
    counts.revision = answer.revision;
    counts.stored = std::max(counts.stored, each.total);
  }
}

void usage_writer::onConflict(const written_window& written, const table::TransactionAnswer& answer,
                              bool closed_changed) {
  window_counts& counts = this->counter_.of(written.window);
  const std::string key = table::usageKey(written.window, this->deps_.leases.own());
  const auto row = std::find_if(answer.conflicts.begin(), answer.conflicts.end(),
                                [&key](const table::Row& each) { return each.key == key; });
  const bool present = row != answer.conflicts.end();
  // Only rows whose check failed are sure to be reported.
  const bool removed = !present && !closed_changed;
  if (written.window <= this->closed_through_ || (removed && counts.revision > 0)) {
    // The row cannot be summed any more, or it is missing because it was summed and removed.
    this->onWindowMissed(written.window);
  }
  if (present) counts.revision = row->revision;
  if (removed) counts.revision = 0;
}

bool usage_writer::readClosedWindow(const table::TransactionAnswer& answer) {
  const auto row =
      std::find_if(answer.conflicts.begin(), answer.conflicts.end(),
                   [](const table::Row& each) { return each.key == table::closedUsageKey(); });
  if (row == answer.conflicts.end() || row->revision == this->closed_revision_) return false;
  this->closed_revision_ = row->revision;
  this->closed_through_ = std::strtoll(row->value.c_str(), nullptr, 10);
  return true;
}

void usage_writer::onWindowMissed(window_number window) {
  window_counts& counts = this->counter_.of(window);
  const std::uint64_t missed = counts.total - counts.stored;
  this->total_late_ += missed;
  counts.stored = counts.total;
  LogEvent("usage", "counted_too_late")
      .number("window", window)
      .number("requests", static_cast<std::int64_t>(missed));
}

}  // namespace linenpier::usage
