#pragma once

/** @file
 * How a part of a checkpoint lies in rows: its bytes, cut into pieces that fit. Pure.
 */

#include <string>
#include <vector>

#include "gateway/batch/checkpoint.h"

namespace linenpier::batch {

/** @param max_bytes of a row's value.
 * @return the values of consecutive rows; at least one.
 */
std::vector<std::string> toRows(const checkpoint_texts& part, std::size_t max_bytes);

/** @param values of consecutive rows of one job. Parts that are cut off or malformed are left out.
 * @return the parts, in order.
 */
std::vector<checkpoint_texts> partsFromRows(const std::vector<std::string>& values);

}  // namespace linenpier::batch
