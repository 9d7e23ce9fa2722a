#pragma once

/** @file
 * Renews this daemon's lease while it owns anything or offers to, and removes its row otherwise.
 * Also the place where the store's clock is known (`store_clock`).
 */

#include <functional>

#include "common/task.h"
#include "gateway/lease/lease_table.h"
#include "gateway/lease/owner_pool.h"
#include "gateway/lease/store_clock.h"
#include "gateway/table/async_table.h"

namespace linenpier::lease {

/** Loop thread only. Lives as long as the loop runs. */
class lease_keeper {
 public:
  lease_keeper(boost::asio::io_context& loop, table::AsyncTable& table, lease_table& leases,
               owner_pool& pool)
      : loop_(loop), table_(table), leases_(leases), pool_(pool) {}

  /** @param needed returns whether this daemon needs a lease now. */
  void start(std::function<bool()> needed);
  /** Each renewal states where other daemons may ask this one. */
  void setPeerAddress(const Address& peer) { this->peer_ = peer; }
  /** @param awaited returns the engines that run what a step waits for; each renewal states them.
   */
  void setAwaited(std::function<std::set<EngineId>()> awaited) {
    this->awaited_ = std::move(awaited);
  }
  /** Ends the renewals and tries once to remove the row. */
  Task<void> stop();

  /** @return the put that renews the lease, to be part of another write. */
  table::Put renewal() const;
  /** The store took a write with the renewal, sent at `sent_at`. */
  void onRenewed(Instant sent_at);
  /** @return whether the lease was renewed within its validity. For the metrics only: a renewal has
   *     no condition, so it shows that the store can be reached and not that anything is owned.
   */
  bool valid(Instant now) const { return now - this->renewed_at_ < this->leases_.times().validity; }
  /** @return the estimate of the store's clock at that time, in ms; 0 before the first answer. */
  std::int64_t storeClock(Instant at) const { return this->clock_.at(at); }
  /** An answer of the store that came at `now` showed its clock. */
  void onStoreClock(Instant now, std::int64_t clock_ms) { this->clock_.onAnswer(now, clock_ms); }
  /** Reads one lease from the store before a takeover: to a daemon whose reads hang, all owners
   * seem silent.
   * @return whether the store answered and the lease was not renewed since it was last seen.
   */
  Task<bool> confirmNotRenewed(LeaseId lease);
  /** Renews at once. @return whether the store took it. */
  Task<bool> renew();

 private:
  Task<void> run();
  /** @return whether the store took the removal of the row. */
  Task<bool> removeRow();

  boost::asio::io_context& loop_;
  table::AsyncTable& table_;
  lease_table& leases_;
  owner_pool& pool_;
  std::function<bool()> needed_;
  std::optional<Address> peer_;
  std::function<std::set<EngineId>()> awaited_;
  Instant renewed_at_{};  ///< When the last successful renewal was sent; zero: there is no row.
  store_clock clock_;
  bool stopping_ = false;
};

}  // namespace linenpier::lease
