#pragma once

/** @file
 * Which engines' entries changed lately, so that a daemon that does not reach the store is told
 * those alone and not a list of ten thousand each time that it asks. Pure.
 */

#include <cstddef>
#include <deque>
#include <optional>
#include <set>

#include "common/ids.h"

namespace linenpier::gateway {

class engine_change_log {
 public:
  /** @param capacity changes that are kept: some ten seconds of a release that replaces a hundred
   *     engines a second.
   */
  explicit engine_change_log(std::size_t capacity = 2000) : capacity_(capacity) {}

  /** All entries are known as of this revision; changes from there on are told here. */
  void reset(Revision revision);
  /** An entry was written, removed or spoilt.
   * @param revision 0: the feed did not say. It is told to whoever asks.
   */
  void record(const EngineId& engine, Revision revision);
  /** @return the engines whose entries changed after `since`; nothing if that is too long ago. */
  std::optional<std::set<EngineId>> changedSince(Revision since) const;

 private:
  struct change {
    EngineId engine;
    Revision revision = 0;
  };

  std::size_t capacity_;
  Revision complete_since_ = 0;  ///< All changes after this one are kept.
  std::deque<change> changes_;
};

}  // namespace linenpier::gateway
