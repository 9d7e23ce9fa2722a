#pragma once

/// @file
/// Renews this daemon's lease row while it owns anything or offers to.

#include <functional>

#include "common/task.h"
#include "gateway/lease/lease_table.h"
#include "gateway/lease/owner_pool.h"
#include "gateway/lease/store_clock.h"
#include "gateway/table/async_table.h"

namespace linenpier::lease {

/// Loop thread only.
class LeaseKeeper {
 public:
  LeaseKeeper(boost::asio::io_context& loop, table::AsyncTable& table, LeaseTable& leases,
              OwnerPool& pool)
      : loop_(loop), table_(table), leases_(leases), pool_(pool) {}

  /// @param needed tells whether a lease is needed now.
  void start(std::function<bool()> needed);
  /// Tells with each renewal where other daemons may ask this one.
  void setPeerAddress(const Address& peer) { peer_ = peer; }
  /// @param awaited tells with each renewal which engines run what a step waits for.
  void setAwaited(std::function<std::set<EngineId>()> awaited) { awaited_ = std::move(awaited); }
  /// Ends the renewals. The row is removed if possible.
  Task<void> stop();

  /// @return the put that renews the lease, to ride on other writes.
  table::Put renewal() const;
  /// A write with the renewal, sent at `sent_at`, was done.
  void onRenewed(Instant sent_at);
  /// @return whether the lease was renewed lately. For the metrics only: a renewal has no
  ///     condition, so it tells of the way to the store and gives no right.
  bool valid(Instant now) const { return now - renewed_at_ < leases_.times().validity; }
  /// @return the estimate of the store's clock at that time, in ms; 0 before the first answer.
  std::int64_t storeClock(Instant at) const { return clock_.at(at); }
  /// An answer of the store that came at `now` showed its clock.
  void onStoreClock(Instant now, std::int64_t clock_ms) { clock_.onAnswer(now, clock_ms); }
  /// Asks the store itself whether an owner that the feed tells nothing of is silent. A feed that
  /// hangs looks like silence of all.
  /// @return whether the store answered and its row is what was last seen.
  Task<bool> confirmSilent(LeaseId lease);
  /// Renews at once. @return whether the store took it.
  Task<bool> renew();

 private:
  Task<void> run();
  /// @return whether the lease's row is gone.
  Task<bool> removeRow();

  boost::asio::io_context& loop_;
  table::AsyncTable& table_;
  LeaseTable& leases_;
  OwnerPool& pool_;
  std::function<bool()> needed_;
  std::optional<Address> peer_;
  std::function<std::set<EngineId>()> awaited_;
  Instant renewed_at_{};  ///< When the last successful renewal was sent.
  store_clock clock_;
  bool stopping_ = false;
};

}  // namespace linenpier::lease
