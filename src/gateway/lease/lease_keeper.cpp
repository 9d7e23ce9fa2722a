#include "gateway/lease/lease_keeper.h"

#include "gateway/lease/store_delay.h"
#include "gateway/table/store_keys.h"

namespace linenpier::lease {

namespace {

/// Wait before a failed renewal or removal is retried: half of the renewal interval, so that the
/// retry of a renewal falls within the validity.
constexpr Duration kRetryBackoff = std::chrono::milliseconds(200);

}  // namespace

void lease_keeper::start(std::function<bool()> needed) {
  this->needed_ = std::move(needed);
  spawn(this->loop_, [this] { return this->run(); });
}

table::Put lease_keeper::renewal() const {
  lease_row row;
  row.capacity = this->pool_.capacity();
  row.peer = this->peer_;
  row.zone = this->pool_.zone();
  if (this->awaited_) row.awaited = this->awaited_();
  return {table::leaseKey(this->leases_.own()), encodeLeaseRow(row)};
}

void lease_keeper::onRenewed(Instant sent_at) {
  this->renewed_at_ = std::max(this->renewed_at_, sent_at);
}

Task<bool> lease_keeper::confirmNotRenewed(LeaseId lease) {
  if (lease.empty() || this->leases_.isPreviousIncarnation(lease)) co_return true;
  const table::RowRange range = table::singleRow(table::kLeaseTable, lease.str());
  const auto page = co_await this->table_.read(range);
  if (!page) co_return false;
  if (page->rows.empty()) co_return true;
  const Revision revision = page->rows.front().revision;
  if (revision <= this->leases_.seenRevision(lease)) co_return true;
  this->leases_.onRow(steadyNow(), lease, revision);
  co_return false;
}

Task<bool> lease_keeper::renew() {
  const Instant sent_at = steadyNow();
  table::Write write;
  write.transaction.puts.push_back(this->renewal());
  const auto answer = co_await this->table_.write(std::move(write));
  const bool done = answer.has_value() && answer->committed;
  if (done) this->onRenewed(sent_at);
  co_return done;
}

Task<void> lease_keeper::run() {
  for (;;) {
    const Duration pause = co_await this->update();
    const Instant wake_at = steadyNow() + pause;
    co_await this->wake_.waitFor(pause);
    if (this->stopping_) continue;
    // A distant store delays each step of an item's run as a late timer does, so both lower the
    // capacity.
    const Duration excess_delay =
        excessStoreDelay(this->leases_.allowance(), this->leases_.times());
    this->pool_.onTimerLateness(steadyNow() - wake_at + excess_delay);
  }
}

Task<Duration> lease_keeper::update() {
  const Duration interval = this->leases_.times().renewal_interval;
  const Instant due = this->renewed_at_ + interval;
  const Instant now = steadyNow();
  if (this->stopping_ || !this->needed_()) {
    // All daemons read all rows, so a row that is not needed would slow down their reads.
    if (!this->hasRow()) co_return interval;
    const bool removed = co_await this->removeRow();
    co_return removed ? interval : kRetryBackoff;
  }
  if (now < due) co_return due - now;
  const bool renewed = co_await this->renew();
  co_return renewed ? interval : kRetryBackoff;
}

void lease_keeper::stop() {
  this->stopping_ = true;
  this->wake_.notifyAll();
}

Task<bool> lease_keeper::removeRow() {
  const Instant renewed_at = this->renewed_at_;
  table::Write write;
  write.removes.push_back(table::leaseKey(this->leases_.own()));
  const auto answer = co_await this->table_.write(std::move(write));
  const bool removed = answer.has_value() && answer->committed;
  // Another write may have renewed the lease in the meantime.
  if (removed && this->renewed_at_ == renewed_at) this->renewed_at_ = Instant{};
  co_return removed;
}

}  // namespace linenpier::lease
