#pragma once

/** @file
 * Decides which scaling orders are due for one service. Does no I/O; runs on the loop thread of the
 * leader.
 *
 * scaling_targets.h computes the wanted counts; this class decides when to order them. It scales up
 * at once, scales down slowly (availability has priority over cost), and repeats an order that had
 * no effect.
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
  /** @param record the record that the previous leader stored. */
  scaling_policy(const scaling_options& options, Instant now, scaling_record record);

  const scaling_record& record() const { return this->record_; }
  /** Learns the baseline: the engines listed once the list is stable, and engines that appeared
   * without an order and stayed.
   * @return the record with the new baseline if it differs; the caller stores it.
   */
  std::optional<scaling_record> learnBaseline(Instant now, const scaling_view& view);
  /** @return the orders that are due, scale-ups first; none without a baseline. */
  std::vector<scaling_decision> decide(Instant now, const fleet::scaling_bounds& bounds,
                                       const scaling_view& view);
  /** Replaces the record after the caller has stored it. */
  void onRecord(scaling_record record) { this->record_ = std::move(record); }
  /** @return the record with the order added. */
  scaling_record withOrder(const scaling_decision& decision) const;
  void onAnswer(Instant now, const scaling_decision& decision, usage::FencedCallResult answer);
  /** Records that a scale-down was not sent because the zone's engines are busy. */
  void onZoneBusy(Instant now, const scaling_decision& decision);

 private:
  /** This leader's state of a group. Times are zero if the event never happened or the condition
   * does not hold.
   */
  struct group_state {
    Instant needed_at{};       ///< When the group last needed at least as many engines as ordered.
    Instant scaled_down_at{};  ///< When a scale-down was last sent, or skipped for a busy zone.
    Instant ordered_at{};      ///< When the platform last accepted an order.
    /// When an order last got no response. It may still be executed, even after a later order was
    /// accepted.
    Instant unanswered_at{};
    Instant paused_until{};       ///< No order for the group is sent before this time.
    Instant no_capacity_until{};  ///< The group counts as without capacity until this time.
    Instant missing_since{};      ///< Since when the group has fewer engines listed than ordered.
    Instant surplus_since{};      ///< Since when the group has more engines listed than ordered.
    int refusals = 0;             ///< Consecutive orders rejected with `kFenced`.
    int repeats = 0;              ///< Consecutive repetitions of the same order.
    /// The platform did not accept the last order, or it is unknown whether it did.
    bool unconfirmed = false;
  };

  /** Updates since when engines are missing, surplus or reclaimed in each group. */
  void observe(Instant now, const scaling_view& view);
  /** @return whether the zone is neither closed nor lost. */
  bool zoneAvailable(Instant now, const scaling_view& view, const ZoneName& zone) const;
  target_inputs targetInputs(Instant now, const fleet::scaling_bounds& bounds,
                             const scaling_view& view) const;
  /** @param candidate the group's listed, ordered and wanted numbers of engines.
   * @return the order that is due for the group, if any.
   */
  std::optional<scaling_decision> orderDue(Instant now, const fleet::scaling_bounds& bounds,
                                           scaling_decision candidate);
  /** @param since the time since which the group has had more engines than needed.
   * @return an order for one engine less, if due.
   */
  std::optional<scaling_decision> scaleDownDue(Instant now, Instant since,
                                               scaling_decision candidate) const;
  /** @return a repetition of the last order, if due. */
  std::optional<scaling_decision> repeatDue(Instant now, const fleet::scaling_bounds& bounds,
                                            scaling_decision candidate) const;
  /** @return the backoff after this many consecutive failures. */
  Duration backoff(int failures) const;

  scaling_options options_;
  scaling_record record_;
  std::map<fleet::engine_group, group_state> states_;
  /// While the baseline is unknown: the last list of engines, and since when it is unchanged.
  std::map<fleet::engine_group, observed_engines> first_groups_;
  Instant unchanged_since_{};
};

}  // namespace linenpier::scaling
