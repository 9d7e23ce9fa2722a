#pragma once

/// @file
/// Reads complete files.

#include <string>

#include "common/error.h"

namespace linenpier::settings {

/// @return the contents of the file, or a finding.
tl::expected<std::string, Findings> readFile(const std::string& path);

}  // namespace linenpier::settings
