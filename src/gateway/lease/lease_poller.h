#pragma once

/** @file
 * Reads the leases of all daemons periodically.
 *
 * Leases are polled because a change feed would wake every daemon for each renewal. With polling, a
 * daemon does about one small read per second, independent of the number of owners. A daemon that
 * may have to take over reads more often.
 */

#include <functional>

#include "common/random.h"
#include "common/task.h"
#include "gateway/lease/lease_keeper.h"
#include "gateway/lease/lease_table.h"
#include "gateway/table/async_table.h"

namespace linenpier::lease {

/** Mean intervals between two reads of the leases, with a jitter of one third to either side to
 * desynchronize the daemons.
 */
struct lease_poller_options {
  Duration interval = std::chrono::seconds(1);
  /// Interval while an owner misses renewals or the store does not respond. A candidate owner
  /// always uses this interval.
  Duration suspect_interval = std::chrono::milliseconds(350);
};

/** Runs on the loop thread only; must live as long as the loop runs. */
class lease_poller {
 public:
  lease_poller(boost::asio::io_context& loop, table::AsyncTable& table, lease_table& leases,
               lease_keeper& keeper, const owner_pool& pool, lease_poller_options options,
               std::uint64_t seed)
      : loop_(loop),
        table_(table),
        leases_(leases),
        keeper_(keeper),
        pool_(pool),
        options_(options),
        random_(seed),
        retry_now_(loop) {}

  /** @param on_health called after each read with whether the store responded; not called for a
   * rate-limited read.
   */
  void start(std::function<void(bool healthy)> on_health);
  /** Reads the leases at once. Called when the store has responded to another call. */
  void retryNow() { this->retry_now_.notifyAll(); }

 private:
  Task<void> run();
  /** Reads all leases. @return whether the store is reachable. */
  Task<bool> readAll();
  /** Removes the rows of leases that `lease_table::removable` returns. */
  Task<void> removeStaleRows();
  /** @return the time until the next read. */
  Duration nextInterval(bool answered);

  boost::asio::io_context& loop_;
  table::AsyncTable& table_;
  lease_table& leases_;
  lease_keeper& keeper_;
  const owner_pool& pool_;
  lease_poller_options options_;
  Random random_;
  Signal retry_now_;
  std::function<void(bool)> on_health_;
};

}  // namespace linenpier::lease
