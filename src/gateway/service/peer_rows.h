#pragma once

/** @file
 * Rows of the store as daemons tell them to each other.
 */

#include <nlohmann/json.hpp>
#include <vector>

#include "common/table_row.h"

namespace linenpier::gateway {

nlohmann::json encodeRows(const std::vector<table::Row>& rows);
/** Throws what the library throws if an entry is no row. */
std::vector<table::Row> decodeRows(const nlohmann::json& entries);

}  // namespace linenpier::gateway
