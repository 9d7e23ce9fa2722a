#pragma once

/** @file
 * Decides which orders for a number of engines are due for one service. Pure; loop thread only, at
 * the leader.
 *
 * The numbers that are wanted come from scaling_targets.h. This module decides when: more engines
 * are ordered at once, fewer slowly (service goes before price), and an order that did not help
 * again after a while.
 */

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gateway/scaling/scaling_record.h"
#include "gateway/scaling/scaling_targets.h"
#include "gateway/usage/usage_port.h"

namespace linenpier::scaling {

class scaling_policy {
 public:
  /** @param record as the last leader left it. */
  scaling_policy(const scaling_options& options, Instant now, scaling_record record);

  const scaling_record& record() const { return this->record_; }
  /** Learns the baseline: what the list showed once it stood still, and what came without an order
   * and stayed.
   * @return the record with the new baseline, if it differs; the caller writes it down.
   */
  std::optional<scaling_record> learnBaseline(Instant now, const scaling_view& view);
  /** @return the orders that are due, those for more engines first; none without a baseline. */
  std::vector<scaling_decision> decide(Instant now, const fleet::scaling_bounds& bounds,
                                       const scaling_view& view);
  /** The record was written down. */
  void onRecord(scaling_record record) { this->record_ = std::move(record); }
  /** @return the record with the order in it. */
  scaling_record withOrder(const scaling_decision& decision) const;
  void onAnswer(Instant now, const scaling_decision& decision, usage::FencedCallResult answer);
  /** An order for fewer was not sent, since the zone's engines have work. */
  void onZoneBusy(Instant now, const scaling_decision& decision);

 private:
  /** What this leader knows of a group. All times are zero if the thing never happened. */
  struct group_state {
    Instant needed_at{};          ///< The group last needed all that was ordered for it, or more.
    Instant scaled_down_at{};     ///< Engines were last taken from it, or nearly.
    Instant ordered_at{};         ///< The platform last took an order.
    Instant unanswered_at{};      ///< An order had no answer and may be carried out late.
    Instant paused_until{};       ///< Nothing is ordered before.
    Instant no_capacity_until{};  ///< The platform has none before; other groups make up for it.
    Instant missing_since{};      ///< Fewer are listed than were ordered; zero: all are.
    Instant surplus_since{};      ///< More are listed than were ordered; zero: none are.
    int refusals = 0;             ///< In a row.
    int repeats = 0;              ///< Of the same order, in a row.
    bool unconfirmed = false;     ///< The platform has not said that it took the last order.
  };

  /** Notes what is missing, too many, or taken back. */
  void observe(Instant now, const scaling_view& view);
  /** @return whether the zone is neither closed nor lost. */
  bool zoneAvailable(Instant now, const scaling_view& view, const ZoneName& zone) const;
  target_inputs targetInputs(Instant now, const fleet::scaling_bounds& bounds,
                             const scaling_view& view) const;
  /** @return the order that is due for a group, if any. */
  std::optional<scaling_decision> orderDue(Instant now, const fleet::scaling_bounds& bounds,
                                           scaling_decision change);
  /** @param since there are more than needed.
   * @return an order for one engine less, if that is due.
   */
  std::optional<scaling_decision> scaleDownDue(Instant now, Instant since,
                                               scaling_decision change) const;
  /** @return the last order again, if that is due. */
  std::optional<scaling_decision> repeatDue(Instant now, const fleet::scaling_bounds& bounds,
                                            scaling_decision change) const;
  /** @return the pause after so many failures in a row. */
  Duration backoff(int failures) const;

  scaling_options options_;
  scaling_record record_;
  std::map<fleet::engine_group, group_state> states_;
  /// While the baseline is not known: what the list showed, and since when it does so unchanged.
  std::map<fleet::engine_group, observed_engines> first_groups_;
  Instant unchanged_since_{};
};

}  // namespace linenpier::scaling
