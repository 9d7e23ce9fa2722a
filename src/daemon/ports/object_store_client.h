#pragma once

/// @file
/// The platform's object store as the core sees it. Objects are written once and never changed.

#include <memory>
#include <string>
#include <vector>

#include "common/error.h"

namespace linenpier::object_store {

/// Blocking, thread-safe client.
class ObjectStoreClient {
 public:
  virtual ~ObjectStoreClient() = default;

  /// Stores `body` under `key`; the same body may be stored again.
  virtual CallResult<void> put(const std::string& key, const std::string& body) = 0;
  /// @return the body; kRejected if there is no such object.
  virtual CallResult<std::string> get(const std::string& key) = 0;
  /// @return the keys that begin with `prefix`, ascending.
  virtual CallResult<std::vector<std::string>> list(const std::string& prefix) = 0;
  /// Forgets an object; forgetting it again is no error.
  virtual CallResult<void> remove(const std::string& key) = 0;
};

using ObjectStoreClientSharedPtr = std::shared_ptr<ObjectStoreClient>;

}  // namespace linenpier::object_store
