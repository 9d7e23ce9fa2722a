#pragma once

/// @file
/// How long a daemon that has just started waits for the table before it trusts its peers.

#include "common/time.h"

namespace linenpier::node {

/// Counted from the daemon's first event. Asking peers and believing them use the same bound.
constexpr Duration kTableGrace = std::chrono::seconds(3);

}  // namespace linenpier::node
