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

class engine_changes {
 public:
  /** @param most changes that are kept: some ten seconds of a release that replaces a hundred
   *     engines a second.
   */
  explicit engine_changes(std::size_t most = 2000) : most_(most) {}

  /** All entries are known as of this revision; changes from there on are told here. */
  void begin(Revision revision);
  /** An entry was written, removed or spoilt.
   * @param revision 0: the feed did not say. It is told to whoever asks.
   */
  void onChange(const EngineId& engine, Revision revision);
  /** @return the engines whose entries changed after `since`; nothing if that is too long ago. */
  std::optional<std::set<EngineId>> since(Revision since) const;

 private:
  struct change {
    EngineId engine;
    Revision revision = 0;
  };

  std::size_t most_;
  Revision from_ = 0;  ///< All changes after this one are kept.
  std::deque<change> changes_;
};

}  // namespace linenpier::gateway
