#pragma once

/** @file
 * A right that one daemon holds at a time: to order the engines of a service, or to carry out a
 * duty at the platform.
 *
 * The right is a row whose revision is the fencing token. It is taken by a conditional write when
 * its owner's lease has run out, some time after its owner could last act.
 *
 * A holder acts only for a short while after a write that the store took under the condition that
 * the right's row is still the holder's. Nothing else, such as a renewal of its lease, tells a
 * holder that was cut off or frozen that it still holds the right.
 *
 * Two holders never take turns within the handover pause. Where nobody checks tokens, a call of the
 * old holder that the network held up could still be carried out, so that the new one waits for the
 * pause. Where tokens are checked, such a call is refused: the new holder acts at once, and only a
 * daemon that acted before another one did waits. That spares a loaded model some 2.6 s without
 * orders at each loss of a holder.
 *
 * The model is spec/order_right.pml.
 */

#include <functional>
#include <string>

#include "gateway/lease/lease_keeper.h"
#include "gateway/table/async_table.h"

namespace linenpier::lease {

/** What the row of a right says. */
struct leader_lock_row {
  LeaseId owner;                    ///< Empty: given up.
  std::int64_t last_action_ms = 0;  ///< By the store's clock; 0: not known.

  bool operator==(const leader_lock_row&) const = default;
};

std::string encodeLockRow(const leader_lock_row& value);
leader_lock_row decodeLockRow(const std::string& text);

/** How one holder follows another. */
struct handover_rules {
  Duration pause = std::chrono::milliseconds(3100);  ///< In which two holders never take turns.
  bool tokens_checked = false;  ///< Calls under a lower token than one seen are refused.

  bool operator==(const handover_rules&) const = default;
};

/** Loop thread only. */
class leader_lock {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    table::AsyncTable& table;
    LeaseTable& leases;
    LeaseKeeper& keeper;
    const OwnerPool& pool;
  };
  /** Told when this daemon gets the right or has lost it. */
  using on_change = std::function<void(bool held)>;

  /** @param name for the log, and for who takes it first.
   * @param key of the right's row.
   */
  leader_lock(const dependencies& deps, std::string name, std::string key, handover_rules rules,
              on_change callback);

  /** The row, as the feed tells it. */
  void onRow(const table::Row& row);
  void onGone();
  /** Proves the right when that is due; takes it if nobody has it and it is this daemon's turn.
   * @param row_known whether the feed has told the row, if there is one.
   */
  void onTick(Instant now, bool row_known);

  bool held() const;
  /** @return whether the holder may act now. */
  bool mayAct(Instant now) const;
  /** @return until when the holder may act without another proof of its right. */
  Instant mayActUntil() const;
  FencingToken token() const { return this->revision_; }
  /** @return the condition that the right is still held, for writes that must not come later. */
  table::Check condition() const { return {this->key_, this->revision_}; }
  void onActed(Instant now) { this->last_action_at_ = now; }
  /** Gives the right up, so that another daemon takes it without a wait for this one's silence. */
  Task<void> handOver();

 private:
  /** Proves the right by a write under its row's revision; renews the lease with it. */
  Task<void> confirm();
  Task<void> acquire();
  /** @return how long to wait after another holder before the first action. */
  Duration pauseAfter(const LeaseId& from, std::int64_t last_action_ms) const;
  /** @return how long to wait where old calls are refused: this daemon, or its earlier life, may
   *     have acted before the other one did.
   */
  Duration pauseAfterOwnActions(Instant now) const;

  dependencies deps_;
  std::string name_;
  std::string key_;
  handover_rules rules_;
  Instant begun_at_;
  on_change on_change_;
  Revision revision_ = 0;  ///< The fencing token, if `owner_` is this daemon.
  LeaseId owner_;
  bool acquiring_ = false;
  bool confirming_ = false;
  bool stopping_ = false;
  Instant confirmed_at_{};  ///< When the last write that proved the right was sent.
  Instant vacant_since_{};
  Instant may_act_at_{};
  std::int64_t last_action_ms_ = 0;  ///< Of an earlier holder, by the store's clock; 0: not known.
  Instant last_action_at_{};         ///< Of this daemon.
};

}  // namespace linenpier::lease
