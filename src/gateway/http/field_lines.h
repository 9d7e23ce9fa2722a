#pragma once

/// @file
/// Syntax of the field lines of an HTTP header (RFC 9112, 5).

#include <string_view>

namespace linenpier::http {

/// @param header a whole header with its first line and the empty line at its end.
/// @return whether each line in between is a name that is a token, directly followed by a colon. A
/// line that begins with a blank is none: it would continue the field before it.
bool hasValidFieldNames(std::string_view header);

}  // namespace linenpier::http
