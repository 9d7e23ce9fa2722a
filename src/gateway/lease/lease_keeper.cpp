#include "gateway/lease/lease_keeper.h"

#include "gateway/lease/store_delay.h"
#include "gateway/table/store_keys.h"

namespace linenpier::lease {

void LeaseKeeper::start(std::function<bool()> needed) {
  needed_ = std::move(needed);
  spawn(loop_, [this] { return run(); });
}

table::Put LeaseKeeper::renewal() const {
  LeaseRow row;
  row.capacity = pool_.capacity();
  row.peer = peer_;
  row.zone = pool_.zone();
  if (awaited_) row.awaited = awaited_();
  return {table::leaseKey(leases_.own()), encodeLeaseRow(row)};
}

void LeaseKeeper::onRenewed(Instant sent_at) {
  renewed_at_ = std::max(renewed_at_, sent_at);
}

Task<bool> LeaseKeeper::confirmSilent(LeaseId lease) {
  if (lease.empty() || leases_.isEarlierSelf(lease)) co_return true;
  const table::RowRange range = table::onlyRow(table::kLeaseTable, lease.str());
  const auto page = co_await table_.read(range);
  if (!page) co_return false;
  if (page->rows.empty()) co_return true;
  const Revision revision = page->rows.front().revision;
  if (revision <= leases_.seenRevision(lease)) co_return true;
  leases_.onRow(steadyNow(), lease, revision);
  co_return false;
}

Task<bool> LeaseKeeper::renew() {
  const Instant sent_at = steadyNow();
  table::Write write;
  write.transaction.puts.push_back(renewal());
  const auto answer = co_await table_.write(std::move(write));
  const bool done = answer.has_value() && answer->committed;
  if (done) onRenewed(sent_at);
  co_return done;
}

Task<void> LeaseKeeper::run() {
  constexpr Duration kRetryPause = std::chrono::milliseconds(200);
  while (!stopping_) {
    Duration pause = leases_.times().renewal;
    const Instant due = renewed_at_ + leases_.times().renewal;
    const Instant now = steadyNow();
    const bool needed = needed_();
    if (!needed && renewed_at_ != Instant{}) {
      // A row that nobody needs is read by every daemon each second.
      if (co_await removeRow()) renewed_at_ = Instant{};
    } else if (needed && now >= due) {
      if (!co_await renew()) pause = kRetryPause;
    } else if (now < due) {
      pause = due - now;
    }
    const Instant wake_at = steadyNow() + pause;
    co_await sleepFor(loop_, pause);
    // An item waits for the store as it waits for a late timer: both put off each of its steps.
    const Duration way = storeDelay(leases_.allowance(), leases_.times());
    pool_.onTimer(steadyNow() - wake_at + way);
  }
}

Task<void> LeaseKeeper::stop() {
  stopping_ = true;
  if (renewed_at_ != Instant{}) {
    co_await removeRow();
  }
}

Task<bool> LeaseKeeper::removeRow() {
  table::Write write;
  write.removes.push_back(table::leaseKey(leases_.own()));
  const auto answer = co_await table_.write(std::move(write));
  co_return answer.has_value() && answer->committed;
}

}  // namespace linenpier::lease
