#pragma once

/** @file
 * A lock that one daemon, its leader, holds at a time: to order the engines of a service, or to
 * carry out a duty at the platform.
 *
 * The lock is a row of the store with its leader's lease. The row's revision is the fencing token,
 * which goes with every call of the leader. A daemon takes the lock by a conditional write on the
 * row once the leader's lease has expired, after its takeover delay (`owner_pool::takeoverDelay`).
 *
 * Holding the row does not allow a call by itself: the leader may have been cut off or frozen, and
 * somebody else may have taken the row meanwhile. So it confirms the lock again and again by a
 * write under the condition that the row is unchanged, and acts only within the lease's validity
 * after the sending of the last such write that the store took. A plain renewal of its lease has no
 * condition and confirms nothing.
 *
 * Calls of two leaders never alternate within the handover pause. Where nobody checks tokens, a
 * call of the old leader that the network held up could still be carried out, so the new leader
 * waits for the pause. Where tokens are checked, such a call is refused: the new leader acts at
 * once, and only a daemon that acted before another leader did waits since its own last action.
 *
 * Models: spec/order_right.pml (tokens unchecked), spec/checked_right.pml (tokens checked).
 */

#include <functional>
#include <string>

#include "gateway/lease/lease_keeper.h"
#include "gateway/table/async_table.h"

namespace linenpier::lease {

/** What the row of a lock says. */
struct leader_lock_row {
  LeaseId owner;                    ///< The leader's lease; empty: given up.
  std::int64_t last_action_ms = 0;  ///< Of the last leader that gave up, by the store's clock; 0:
                                    ///< not known.

  bool operator==(const leader_lock_row&) const = default;
};

std::string encodeLockRow(const leader_lock_row& value);
leader_lock_row decodeLockRow(const std::string& text);

/** How one leader follows another. */
struct handover_options {
  Duration pause = std::chrono::milliseconds(3100);  ///< In which calls of two never alternate.
  bool tokens_checked = false;  ///< Calls under a lower token than one already seen are refused.

  bool operator==(const handover_options&) const = default;
};

/** Loop thread only. Outlives every task that it starts. */
class leader_lock {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    table::AsyncTable& table;
    lease_table& leases;
    lease_keeper& keeper;
    const owner_pool& pool;
  };
  /** Called when this daemon has become the leader, or is no longer. */
  using on_change = std::function<void(bool held)>;

  /** @param name in the log, and what takeover delays are computed of.
   * @param key of the lock's row.
   */
  leader_lock(const dependencies& deps, std::string name, std::string key, handover_options rules,
              on_change callback);

  /** The row, as a feed or a conflict shows it. Rows older than the one known are ignored. */
  void onRow(const table::Row& row);
  /** The row was removed from the store. */
  void onRowRemoved();
  /** Confirms the lock when that is due; takes it if it is free and this daemon's delay is over.
   * @param row_known whether the row, if there is one, has been received.
   */
  void onTick(Instant now, bool row_known);

  /** @return whether this daemon is the leader, as far as it knows. */
  bool held() const;
  /** @return whether the leader may act now. */
  bool mayAct(Instant now) const;
  /** @return until when the leader may act without another confirmation. */
  Instant mayActUntil() const;
  FencingToken token() const { return this->revision_; }
  /** @return the condition that the lock is still held, for writes that must not come later. */
  table::Check condition() const { return {this->key_, this->revision_}; }
  /** The leader is about to make a call under the lock. */
  void recordAction(Instant now) { this->last_action_at_ = now; }
  /** Gives the lock up, so that another daemon need not wait for this one's lease to expire. */
  Task<void> handOver();

 private:
  /** Writes the lease under the condition that the lock's row is unchanged. */
  Task<void> confirm();
  Task<void> acquire();
  /** @return how long a new leader waits before its first action after the leader `from`. */
  Duration handoverDelayAfter(const LeaseId& from, std::int64_t last_action_ms) const;
  /** @return the same where tokens are checked: this daemon, or its earlier life, may have acted
   *     before the other leader did.
   */
  Duration handoverDelayAfterOwnActions(Instant now) const;

  dependencies deps_;
  std::string name_;
  std::string key_;
  handover_options rules_;
  Instant started_at_;  ///< Of this life of the daemon; an earlier one may have acted until then.
  on_change on_change_;
  Revision revision_ = 0;  ///< Of the row; the fencing token while `owner_` is this daemon.
  LeaseId owner_;          ///< As the row of `revision_` says.
  bool acquiring_ = false;
  bool confirming_ = false;
  bool stopping_ = false;
  /// When the last write was sent that confirmed the lock. Never when it was answered: the answer
  /// says nothing about the time since the sending.
  Instant confirmed_at_{};
  Instant vacant_since_{};           ///< Since when the lock is seen to be free; zero: it is not.
  Instant may_act_at_{};             ///< End of the handover pause.
  std::int64_t last_action_ms_ = 0;  ///< Of an earlier leader, by the store's clock; 0: not known.
  Instant last_action_at_{};         ///< Of this daemon; zero: it never acted.
};

}  // namespace linenpier::lease
