#pragma once

/** @file
 * Reads the leases of all daemons now and then.
 *
 * Renewals are many and concern few, so they are not followed by a feed that would wake every
 * daemon: each daemon reads all rows when it suits it, one small read a second however many owners
 * there are. A daemon that may have to take over reads more often.
 */

#include <functional>

#include "common/random.h"
#include "common/task.h"
#include "gateway/lease/lease_keeper.h"
#include "gateway/lease/lease_table.h"
#include "gateway/table/async_table.h"

namespace linenpier::lease {

/** Intervals are means; each is spread by a third to both sides, so that reads do not coincide. */
struct lease_poller_options {
  Duration interval = std::chrono::seconds(1);
  /// While an owner misses renewals or the store did not answer, and always at a daemon that offers
  /// to own what a lost owner leaves.
  Duration suspect_interval = std::chrono::milliseconds(350);
};

/** Loop thread only. Lives as long as the loop runs. */
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

  /** @param on_health called after each read with whether the store answered. */
  void start(std::function<void(bool healthy)> on_health);
  /** Reads at once: the store is known to answer others. */
  void retryNow() { this->retry_now_.notifyAll(); }

 private:
  Task<void> run();
  /** @return whether the store can be reached. */
  Task<bool> readAll();
  /** Removes rows of leases that ended long ago. */
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
