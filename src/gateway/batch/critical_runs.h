#pragma once

/** @file
 * Selects the runs that are expected to determine when a job's step ends. Pure.
 */

#include <vector>

#include "gateway/batch/batch_run.h"
#include "gateway/batch/length_estimator.h"

namespace linenpier::batch {

/** Length hints are inexact, so that several of the longest runs are considered critical. */
inline constexpr std::size_t kMaxCriticalRuns = 3;

/** @return the running items with the longest expected remaining time, at most `kMaxCriticalRuns`,
 *     without those that need less than half of the longest time.
 */
std::vector<ItemIndex> criticalRuns(const batch_run& run, const length_estimator& lengths);

}  // namespace linenpier::batch
