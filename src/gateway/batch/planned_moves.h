#pragma once

/** @file
 * Moves of runs that were decided in one go: each takes room that the next ones do not have. Pure.
 */

#include <cstddef>
#include <map>
#include <set>

#include "common/ids.h"

namespace linenpier::batch {

class planned_moves {
 public:
  explicit planned_moves(std::size_t max_moves) : remaining_(max_moves) {}

  bool exhausted() const { return this->remaining_ == 0; }
  /** @return engines that have no room beyond the moves planned. */
  const std::set<EngineId>& fullEngines() const { return this->full_; }
  /** @param room slots that the target had before any of these moves. */
  void add(const EngineId& target, double room) {
    if (this->remaining_ > 0) --this->remaining_;
    if (++this->planned_[target] + 1 > room) this->full_.insert(target);
  }

 private:
  std::size_t remaining_;
  std::map<EngineId, double> planned_;
  std::set<EngineId> full_;
};

}  // namespace linenpier::batch
