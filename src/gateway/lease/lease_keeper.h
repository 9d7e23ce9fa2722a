#pragma once

/** @file
 * Renews this daemon's lease while the daemon owns anything or is a candidate owner, and removes
 * the lease's row otherwise. Also keeps the estimate of the store's clock (`store_clock`).
 */

#include <functional>

#include "common/task.h"
#include "gateway/lease/lease_table.h"
#include "gateway/lease/owner_pool.h"
#include "gateway/lease/store_clock.h"
#include "gateway/table/async_table.h"

namespace linenpier::lease {

/** Runs on the loop thread only; must live as long as the loop runs. */
class lease_keeper {
 public:
  lease_keeper(boost::asio::io_context& loop, table::AsyncTable& table, lease_table& leases,
               owner_pool& pool)
      : loop_(loop), table_(table), leases_(leases), pool_(pool), wake_(loop) {}

  /** @param needed returns whether this daemon needs a lease now. */
  void start(std::function<bool()> needed);
  /** Sets the address for requests from other daemons, which each renewal publishes. */
  void setPeerAddress(const Address& peer) { this->peer_ = peer; }
  /** @param awaited returns the engines that are running an item whose result a step is waiting
   * for; published with each renewal.
   */
  void setAwaited(std::function<std::set<EngineId>()> awaited) {
    this->awaited_ = std::move(awaited);
  }
  /** Stops renewing the lease, and starts to remove its row. Repeats this until the store has
   * confirmed it; `hasRow` then returns false.
   */
  void stop();
  /** @return whether the lease has a row in the store, as far as this daemon knows. */
  bool hasRow() const { return this->renewed_at_ != Instant{}; }

  /** @return a put that renews the lease, to be added to any write. */
  table::Put renewal() const;
  /** Records that a write containing the renewal, sent at `sent_at`, was committed. */
  void onRenewed(Instant sent_at);
  /** @return whether the lease was renewed within its validity. For metrics only: a renewal is
   * unconditional, so it proves that the store is reachable, not that anything is owned.
   */
  bool valid(Instant now) const { return now - this->renewed_at_ < this->leases_.times().validity; }
  /** @return the estimate of the store's clock at `at`, in ms; 0 before the first response. */
  std::int64_t storeClock(Instant at) const { return this->clock_.at(at); }
  /** Handles the store's clock from a response received at `now`. */
  void onStoreClock(Instant now, std::int64_t clock_ms) { this->clock_.onAnswer(now, clock_ms); }
  /** Reads one lease from the store before a takeover, because a daemon whose reads are delayed
   * sees all leases as expired.
   * @return whether the store responded and the lease was not renewed since it was last seen.
   */
  Task<bool> confirmNotRenewed(LeaseId lease);
  /** Renews the lease at once. @return whether the renewal was committed. */
  Task<bool> renew();

 private:
  Task<void> run();
  /** Removes the lease's row if it has one and is not needed, or renews the lease if it is due.
   * @return the time until the next call.
   */
  Task<Duration> update();
  /** Removes the lease's row. @return whether the removal was committed. */
  Task<bool> removeRow();

  boost::asio::io_context& loop_;
  table::AsyncTable& table_;
  lease_table& leases_;
  owner_pool& pool_;
  std::function<bool()> needed_;
  std::optional<Address> peer_;
  std::function<std::set<EngineId>()> awaited_;
  Instant renewed_at_{};  ///< When the last committed renewal was sent; zero: the lease has no row.
  store_clock clock_;
  bool stopping_ = false;
  Signal wake_;  ///< Notified by `stop`.
};

}  // namespace linenpier::lease
