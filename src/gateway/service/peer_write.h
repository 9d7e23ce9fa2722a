#pragma once

/** @file
 * A write that one daemon does for another, which does not reach the store, as text.
 */

#include <optional>
#include <string>

#include "gateway/table/async_table.h"

namespace linenpier::gateway {

std::string encodeWrite(const table::Write& write);
/** @return nothing if the text is no write. */
std::optional<table::Write> decodeWrite(const std::string& text);

std::string encodeAnswer(const table::TransactionAnswer& answer);
/** @return nothing if the text is no answer. */
std::optional<table::TransactionAnswer> decodeAnswer(const std::string& text);

}  // namespace linenpier::gateway
