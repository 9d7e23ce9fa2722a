#pragma once

/** @file
 * Which runs of a job its step is likely to end with. Pure.
 */

#include <vector>

#include "gateway/batch/batch_run.h"
#include "gateway/batch/length_estimator.h"

namespace linenpier::batch {

/** Runs of a job that engines should be left alone with. Hints are right within a factor of two, so
 * that the one the step ends with is among the few that are expected to last longest.
 */
inline constexpr std::size_t kMaxCriticalRuns = 3;

/** @return the running items that are expected to last longest, at most `kMaxCriticalRuns`, none
 * that is expected to end in half of the longest one's time.
 */
std::vector<ItemIndex> criticalRuns(const batch_run& run, const length_estimator& lengths);

}  // namespace linenpier::batch
