#pragma once

/// @file
/// The outside world as a daemon's threads use it.

#include "daemon/clients/platform_directory.h"
#include "daemon/ports/engine_client.h"
#include "daemon/ports/object_store_client.h"
#include "daemon/ports/table_client.h"

namespace linenpier::daemon {

/// Clients of the platform; each is thread-safe and may be shared.
struct Services {
  table::TableClientSharedPtr table;
  object_store::ObjectStoreClientSharedPtr objects;
  engine::EngineClientSharedPtr engines;
  platform::PlatformDirectorySharedPtr directory;
};

}  // namespace linenpier::daemon
