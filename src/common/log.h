#pragma once

/// @file
/// Logging through Boost.Log. Each component logs under its own fixed prefix.

#include <boost/log/trivial.hpp>
#include <string>

namespace linenpier {

/// Sets the process-wide sink: standard error, time, severity, text.
/// @param minimum severity name: trace, debug, info, warning or error.
void setUpLogging(const std::string& minimum);

}  // namespace linenpier

/// Logs a message, for example `LINENPIER_LOG(info, "membership") << "zone is unreachable"`.
#define LINENPIER_LOG(severity, part) BOOST_LOG_TRIVIAL(severity) << "[" part "] "
