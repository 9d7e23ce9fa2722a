#pragma once

/** @file
 * Bounded log of recently changed engine entries. When a peer that cannot reach the store
 * asks for engines, the gateway sends only these entries instead of the full engine list.
 */

#include <cstddef>
#include <deque>
#include <optional>
#include <set>

#include "common/ids.h"

namespace linenpier::gateway {

class engine_change_log {
 public:
  /** @param capacity number of changes kept; the default covers ten seconds of a rollout that
   *     replaces a hundred engines per second.
   */
  explicit engine_change_log(std::size_t capacity = 2000) : capacity_(capacity) {}

  /** Clears the log and marks it as complete for all changes after `revision`. */
  void reset(Revision revision);
  /** Records that an engine's table entry was written, was removed or became invalid.
   * @param revision table revision of the change; 0 if unknown. A change of unknown revision is
   * part of every result of `changedSince`.
   */
  void record(const EngineId& engine, Revision revision);
  /** @return the engines whose entries changed after `since`, or nothing if the log does not reach
   *     back that far.
   */
  std::optional<std::set<EngineId>> changedSince(Revision since) const;

 private:
  struct change {
    EngineId engine;
    Revision revision = 0;
  };

  std::size_t capacity_;
  Revision complete_since_ = 0;  ///< Revision after which the log holds all changes.
  std::deque<change> changes_;
};

}  // namespace linenpier::gateway
