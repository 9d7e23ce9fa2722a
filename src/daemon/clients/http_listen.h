#pragma once

/// @file
/// Binds an HTTP server with a backlog that takes bursts.

#include <httplib.h>

#include "common/address.h"
#include "common/error.h"

namespace linenpier::platform {

/// Connections that may wait to be accepted. The library's own bound of 5 is fixed when it is
/// compiled; beyond it the kernel drops connection attempts, and each costs its caller a second.
constexpr int kListenBacklog = 4096;

/// Binds `server` to the address and widens its backlog.
/// @return a finding that names the address if it cannot be bound.
tl::expected<void, Findings> bindHttpServer(httplib::Server& server, const Address& address);

}  // namespace linenpier::platform
