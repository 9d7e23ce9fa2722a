#include "gateway/lease/lease_keeper.h"

#include "gateway/lease/store_delay.h"
#include "gateway/table/store_keys.h"

namespace linenpier::lease {

namespace {

/// Wait before a failed renewal is retried: half of the renewal interval, so that the retry falls
/// within the validity.
constexpr Duration kRenewalBackoff = std::chrono::milliseconds(200);

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
  while (!this->stopping_) {
    const Duration interval = this->leases_.times().renewal_interval;
    Duration pause = interval;
    const Instant due = this->renewed_at_ + interval;
    const Instant now = steadyNow();
    const bool needed = this->needed_();
    if (!needed && this->renewed_at_ != Instant{}) {
      // All daemons read all rows, so a row that is not needed would slow down their reads.
      if (co_await this->removeRow()) this->renewed_at_ = Instant{};
    } else if (needed && now >= due) {
      if (!co_await this->renew()) pause = kRenewalBackoff;
    } else if (now < due) {
      pause = due - now;
    }
    const Instant wake_at = steadyNow() + pause;
    co_await sleepFor(this->loop_, pause);
    // A distant store delays each step of an item's run as a late timer does, so both lower the
    // capacity.
    const Duration excess_delay =
        excessStoreDelay(this->leases_.allowance(), this->leases_.times());
    this->pool_.onTimerLateness(steadyNow() - wake_at + excess_delay);
  }
}

Task<void> lease_keeper::stop() {
  this->stopping_ = true;
  if (this->renewed_at_ != Instant{}) {
    // If this removal fails, other daemons remove the row (`lease_table::removable`).
    co_await this->removeRow();
  }
}

Task<bool> lease_keeper::removeRow() {
  table::Write write;
  write.removes.push_back(table::leaseKey(this->leases_.own()));
  const auto answer = co_await this->table_.write(std::move(write));
  co_return answer.has_value() && answer->committed;
}

}  // namespace linenpier::lease
