#pragma once

/** @file
 * Moves of runs that are planned together: accounts for the slots that earlier moves will take.
 * Pure.
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
  /** @return engines without slots left for further moves. */
  const std::set<EngineId>& fullEngines() const { return this->full_; }
  /** @param room number of free slots of the target engine before the planned moves. */
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
