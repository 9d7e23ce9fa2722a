#pragma once

/** @file
 * A leader lock, held by one daemon at a time: to order the engines of a service, or to make calls
 * to the platform that only one daemon may make.
 *
 * The lock is a row in the store that names the leader's lease. The row's revision is the fencing
 * token sent with every call of the leader. When the leader's lease has expired, a daemon acquires
 * the lock by a conditional write on the row, after its takeover delay
 * (`owner_pool::takeoverDelay`).
 *
 * Holding the row is not enough to make a call: the leader may have been partitioned or suspended
 * while another daemon acquired the lock. The leader therefore confirms the lock periodically by a
 * write conditional on the row being unchanged, and acts only within the lease's validity, counted
 * from when the last committed confirmation was sent. A plain lease renewal is unconditional and
 * confirms nothing.
 *
 * A call of the previous leader may be delayed and executed after that leader lost the lock. If the
 * callee does not check tokens, the new leader therefore makes no call until the handover pause has
 * passed since the previous leader could last act. If the callee rejects calls with outdated
 * tokens, a new leader only waits until the pause has passed since its own last action, or since
 * its start.
 *
 * Promela models of the protocol: spec/order_right.pml (tokens not checked) and
 * spec/checked_right.pml (tokens checked).
 */

#include <functional>
#include <optional>
#include <string>

#include "gateway/lease/lease_keeper.h"
#include "gateway/table/async_table.h"

namespace linenpier::lease {

/** The decoded row of a lock. */
struct leader_lock_row {
  LeaseId owner;  ///< The leader's lease; empty: released.
  /// When the last leader that released the lock last acted, by the store's clock; 0: unknown.
  std::int64_t last_action_ms = 0;

  bool operator==(const leader_lock_row&) const = default;
};

std::string encodeLockRow(const leader_lock_row& value);
leader_lock_row decodeLockRow(const std::string& text);

/** Timing of a handover from one leader to the next. */
struct handover_options {
  /// How long a new leader waits for delayed calls of the previous one to be executed.
  Duration pause = std::chrono::milliseconds(3100);
  bool tokens_checked = false;  ///< The callee rejects tokens lower than one it has seen.

  bool operator==(const handover_options&) const = default;
};

/** Runs on the loop thread only and outlives every task that it starts. */
class leader_lock {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    table::AsyncTable& table;
    lease_table& leases;
    lease_keeper& keeper;
    const owner_pool& pool;
  };
  /** Called when this daemon acquires or loses the lock. */
  using on_change = std::function<void(bool held)>;

  /** @param name name of the lock, used in the log and to compute takeover delays.
   * @param key key of the lock's row.
   */
  leader_lock(const dependencies& deps, std::string name, std::string key,
              handover_options handover, on_change callback);

  /** Handles the lock's row from a feed or a write conflict. Ignores outdated rows. */
  void onRow(const table::Row& row);
  /** Handles the removal of the lock's row from the store. */
  void onRowRemoved();
  /** Confirms the lock when a confirmation is due; acquires the lock if it is free and the takeover
   * delay has passed.
   * @param row_known whether the lock's row, if the store has one, has been received.
   */
  void onTick(Instant now, bool row_known);

  /** @return whether this daemon is the leader according to the last known row. */
  bool held() const;
  /** @return whether this daemon is the leader and its last confirmation is still valid. */
  bool mayAct(Instant now) const;
  /** @return until when the leader may act without another confirmation. */
  Instant mayActUntil() const;
  FencingToken token() const { return this->revision_; }
  /** @return a check for writes that must fail if this daemon has lost the lock. */
  table::Check condition() const { return {this->key_, this->revision_}; }
  /** Must be called before each call made under the lock. */
  void recordAction(Instant now) { this->own_last_action_at_ = now; }
  /** Starts to release the lock, so that another daemon need not wait for the lease to expire.
   * Repeats this until the store has confirmed it; `held` then returns false. The lock is not
   * acquired again.
   */
  void handOver();

 private:
  /** Renews the lease by a write conditional on the lock's row being unchanged. */
  Task<void> confirm();
  Task<void> acquire();
  void startRelease();
  /** Releases the lock, also if it is acquired by a write that is still in progress. */
  Task<void> releaseLoop();
  /** Tries once to release the lock. */
  Task<void> release();
  /** Handles a response that reports the lock's current row, because a check on it failed. */
  void onConflict(const table::TransactionAnswer& answer);
  /** Handles the transition to being the leader, which is known from the response to the write or
   * from the feed: the response may be lost, or later than the feed.
   * @param before the row that was replaced; empty: the row was created.
   */
  void onAcquired(const std::optional<leader_lock_row>& before);
  /** @return how long a new leader waits before its first action after the leader `from`. */
  Duration handoverDelayAfter(const LeaseId& from, std::int64_t last_action_ms) const;
  /** @return how long a new leader waits before its first action if tokens are checked: until the
   * pause has passed since its own last action, and since its start, because its previous
   * incarnation may have acted until then.
   */
  Duration handoverDelayAfterOwnActions(Instant now) const;

  dependencies deps_;
  std::string name_;
  std::string key_;
  handover_options handover_;
  /// Start of this daemon; its previous incarnation may have acted until this time.
  Instant started_at_;
  on_change on_change_;
  /// Revision of the lock's row; the fencing token while this daemon is the leader.
  Revision revision_ = 0;
  LeaseId owner_;  ///< The leader's lease at `revision_`; empty if the lock was released.
  bool acquiring_ = false;
  bool confirming_ = false;
  bool stopping_ = false;
  bool releasing_ = false;  ///< Whether `releaseLoop` runs.
  /// When the last committed confirmation was sent. The lock may have been lost between the sending
  /// and the response.
  Instant confirmed_at_{};
  /// When the lock was first seen to be free; zero: the lock is not free.
  Instant vacant_since_{};
  Instant may_act_at_{};  ///< End of the handover pause.
  /// `leader_lock_row::last_action_ms` of the last known row.
  std::int64_t previous_leader_action_ms_ = 0;
  Instant own_last_action_at_{};  ///< When this daemon last acted; zero: never.
};

}  // namespace linenpier::lease
