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

  /** Clears the log; it is complete for changes after this revision. */
  void reset(Revision revision);
  /** Records an entry that was written, removed or became unreadable.
   * @param revision 0 if unknown; such a change is part of every answer.
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
  Revision complete_since_ = 0;  ///< The log holds all changes after this revision.
  std::deque<change> changes_;
};

}  // namespace linenpier::gateway
