#pragma once

/** @file
 * What is known of a suspect, as its row in the store has it.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"

namespace linenpier::suspects {

/** Engine ids that a record keeps, the first ones: for people who look for a cause. */
inline constexpr std::size_t kMaxEnginesKept = 8;

/** Members are named as the row's fields. */
struct suspect_record {
  /** Crashes, one after the other. Those under attempts that ran side by side count once: a zone
   * that loses power takes many engines that run one request, which says nothing of the request.
   */
  int crashes = 0;
  std::vector<EngineId> engines;       ///< That crashed; at most `kMaxEnginesKept`.
  std::int64_t last_crash_ms = 0;      ///< Time of the last crash, by the store's clock.
  std::string isolated_by;             ///< Daemon's life that runs it alone; empty: none.
  std::int64_t isolated_until_ms = 0;  ///< Until then no other daemon runs it.

  bool operator==(const suspect_record&) const = default;
};

std::string encodeSuspect(const suspect_record& record);
/** @return nothing if the text is malformed. */
std::optional<suspect_record> decodeSuspect(const std::string& text);

}  // namespace linenpier::suspects
