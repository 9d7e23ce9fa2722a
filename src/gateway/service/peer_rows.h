#pragma once

/** @file
 * JSON encoding of store rows in peer messages.
 */

#include <nlohmann/json.hpp>
#include <vector>

#include "common/table_row.h"

namespace linenpier::gateway {

nlohmann::json encodeRows(const std::vector<table::Row>& rows);
/** @throws nlohmann::json::exception if an element of the JSON list is not a row. */
std::vector<table::Row> decodeRows(const nlohmann::json& entries);

}  // namespace linenpier::gateway
