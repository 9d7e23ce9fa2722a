#include "gateway/usage/cluster_clock.h"

#include "common/event_log.h"
#include "gateway/table/store_keys.h"

namespace linenpier::usage {

using logging::LogEvent;

namespace {

/// Time between two comparisons of cluster time with the daemons' samples.
constexpr Duration kClockCheckInterval = std::chrono::seconds(10);

}  // namespace

void cluster_clock::onRow(const table::Row& row) {
  if (row.revision <= this->revision_) return;
  this->revision_ = row.revision;
  this->offset_ms_ = std::strtoll(row.value.c_str(), nullptr, 10);
}

std::optional<usage_windows> cluster_clock::usageWindows() const {
  if (!this->offset_ms_) return std::nullopt;
  return usage_windows(this->options_.window, *this->offset_ms_);
}

std::optional<window_number> cluster_clock::windowAt(Instant at) const {
  const auto all = this->usageWindows();
  const std::int64_t store_ms = this->keeper_.storeClock(at);
  if (!all || store_ms == 0) return std::nullopt;
  return all->at(store_ms);
}

bool cluster_clock::synchronizationDue(Instant now) const {
  return !this->known() || now - this->checked_at_ >= kClockCheckInterval;
}

Task<std::optional<std::vector<clock_sample>>> cluster_clock::readSamples() {
  table::RowRange range{table::kClockTable, "", "", 0};
  std::vector<clock_sample> samples;
  for (;;) {
    const auto page = co_await this->table_.read(range);
    if (!page) co_return std::nullopt;
    for (const table::Row& row : page->rows) {
      if (const auto sample = decodeSample(row.value)) samples.push_back(*sample);
    }
    if (!table::advancePast(*page, range)) break;
  }
  co_return samples;
}

Task<void> cluster_clock::synchronize(const lease::leader_lock& lock, Instant acquired_at) {
  const Instant now = steadyNow();
  if (!this->known() && now - acquired_at < this->options_.first_samples_wait) co_return;
  const std::int64_t store_ms = this->keeper_.storeClock(now);
  const auto samples = co_await this->readSamples();
  if (!samples) co_return;
  this->checked_at_ = now;
  const std::int64_t lifetime_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->options_.sample_lifetime).count();
  const auto median = medianOffset(*samples, store_ms - lifetime_ms);
  if (!median) co_return;
  const bool accurate =
      this->offset_ms_ && std::abs(*median - *this->offset_ms_) < this->options_.min_correction_ms;
  if (accurate) co_return;
  table::Write write;
  write.transaction.checks.push_back(lock.condition());
  write.transaction.checks.push_back({table::clusterTimeKey(), this->revision_});
  write.transaction.puts.push_back({table::clusterTimeKey(), std::to_string(*median)});
  const auto answer = co_await this->table_.write(std::move(write));
  const bool done = answer && answer->committed;
  LogEvent("usage", "true_time")
      .number("samples", static_cast<std::int64_t>(samples->size()))
      .number("offset_ms", *median)
      .number("before_ms", this->offset_ms_.value_or(0))
      .text("outcome", done ? "written" : "not_written");
  if (done) this->onRow({table::clusterTimeKey(), answer->revision, std::to_string(*median)});
}

}  // namespace linenpier::usage
