#pragma once

/** @file
 * Stored record of a suspect.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"

namespace linenpier::suspects {

/** Maximum number of engine ids in a record, for diagnosis. The ids recorded first are kept. */
inline constexpr std::size_t kMaxEnginesKept = 8;

/** Content of a suspect's row in the store. */
struct suspect_record {
  /** Number of crashes. Crashes during concurrent attempts count once: a zone that loses power
   * stops many engines that run the same request.
   */
  int crashes = 0;
  std::vector<EngineId> engines;   ///< Engines that crashed; at most `kMaxEnginesKept`.
  std::int64_t last_crash_ms = 0;  ///< Time of the last crash by the store's clock.
  std::string isolated_by;  ///< Lease id of the daemon that runs the request isolated; or empty.
  std::int64_t isolated_until_ms = 0;  ///< No other daemon runs the request before this time.

  bool operator==(const suspect_record&) const = default;
};

std::string encodeSuspect(const suspect_record& record);
/** Parses a stored record. @return nullopt if the text is malformed. */
std::optional<suspect_record> decodeSuspect(const std::string& text);

}  // namespace linenpier::suspects
