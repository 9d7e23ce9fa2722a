#pragma once

/// @file
/// Reading of whole files.

#include <string>

#include "common/error.h"

namespace linenpier::settings {

/// Reads a file. @return its text or one finding.
tl::expected<std::string, Findings> readFile(const std::string& path);

}  // namespace linenpier::settings
