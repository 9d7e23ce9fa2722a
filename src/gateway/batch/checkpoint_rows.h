#pragma once

/** @file
 * Splits encoded parts of a checkpoint into row values of limited size, and joins them again. Pure.
 */

#include <string>
#include <vector>

#include "gateway/batch/checkpoint.h"

namespace linenpier::batch {

/** @param max_bytes upper limit for the value of a row.
 * @return the values of consecutive rows; at least one.
 */
std::vector<std::string> toRows(const item_checkpoints& part, std::size_t max_bytes);

/** @param values of consecutive rows of one job.
 * @return the parts, in order. Incomplete and malformed parts are skipped.
 */
std::vector<item_checkpoints> partsFromRows(const std::vector<std::string>& values);

}  // namespace linenpier::batch
