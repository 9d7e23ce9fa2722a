#pragma once

/** @file
 * Reads the leases of all owners now and then. Renewals are many and concern few, so they are read
 * when it suits the reader, not told to every daemon one by one: one small read a daemon and
 * second, however many owners there are.
 */

#include <functional>

#include "common/random.h"
#include "common/task.h"
#include "gateway/lease/lease_keeper.h"
#include "gateway/lease/lease_table.h"
#include "gateway/table/async_table.h"

namespace linenpier::lease {

struct lease_watch_options {
  Duration period = std::chrono::seconds(1);  ///< In the mean; spread by a third to both sides.
  /// While an owner misses renewals, or the store did not answer; and always at a daemon that
  /// offers to own what a lost owner leaves.
  Duration suspect_period = std::chrono::milliseconds(350);
};

/// Loop thread only.
class lease_watch {
 public:
  lease_watch(boost::asio::io_context& loop, table::AsyncTable& table, LeaseTable& leases,
              LeaseKeeper& keeper, const OwnerPool& pool, lease_watch_options options,
              std::uint64_t seed)
      : loop_(loop),
        table_(table),
        leases_(leases),
        keeper_(keeper),
        pool_(pool),
        options_(options),
        random_(seed),
        retry_now_(loop) {}

  /// @param on_health told after each read whether the store answered.
  void start(std::function<void(bool healthy)> on_health);
  /// The store was heard of elsewhere: the leases are read now.
  void retryNow() { retry_now_.notifyAll(); }

 private:
  Task<void> run();
  /// @return whether the store can be reached.
  Task<bool> readAll();
  Task<void> removeForgotten();
  Duration nextPause(bool answered);

  boost::asio::io_context& loop_;
  table::AsyncTable& table_;
  LeaseTable& leases_;
  LeaseKeeper& keeper_;
  const OwnerPool& pool_;
  lease_watch_options options_;
  Random random_;
  Signal retry_now_;
  std::function<void(bool)> on_health_;
};

}  // namespace linenpier::lease
