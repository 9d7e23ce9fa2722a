#pragma once

/// @file
/// Syntax rules of HTTP that not all parsers enforce.

#include <string_view>

namespace linenpier {

/// @return whether the text may be the name of a field: one or more characters, none of them a
/// blank, a control character or a delimiter (RFC 9110, 5.6.2).
bool isToken(std::string_view text);

/// @return whether HTTP defines the class of the status, 1xx to 5xx (RFC 9110, 15).
bool isDefinedStatus(unsigned status);

}  // namespace linenpier
