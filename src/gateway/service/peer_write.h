#pragma once

/** @file
 * JSON encoding of store writes that a peer performs for a gateway without store access.
 */

#include <optional>
#include <string>

#include "gateway/table/async_table.h"

namespace linenpier::gateway {

std::string encodeWrite(const table::Write& write);
/** @return the write, or nothing if the text is not a valid write. */
std::optional<table::Write> decodeWrite(const std::string& text);

std::string encodeAnswer(const table::TransactionAnswer& answer);
/** @return the answer, or nothing if the text is not a valid answer. */
std::optional<table::TransactionAnswer> decodeAnswer(const std::string& text);

}  // namespace linenpier::gateway
