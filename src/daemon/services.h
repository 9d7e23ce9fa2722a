#pragma once

/// @file
/// The outside world as a daemon's threads use it.

#include "engine/engine_client.h"
#include "object_store/object_store_client.h"
#include "platform/platform_directory.h"
#include "table/table_client.h"

namespace linenpier::daemon {

/// Clients of the platform; each is thread-safe and may be shared.
struct Services {
  table::TableClientSharedPtr table;
  object_store::ObjectStoreClientSharedPtr objects;
  engine::EngineClientSharedPtr engines;
  platform::PlatformDirectorySharedPtr directory;
};

}  // namespace linenpier::daemon
