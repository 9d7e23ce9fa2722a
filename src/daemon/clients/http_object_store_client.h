#pragma once

/// @file
/// The object store over HTTP.

#include "daemon/clients/http_call.h"
#include "daemon/ports/object_store_client.h"

namespace linenpier::platform {

/// `PUT /objects?key=`, `GET /objects?key=`, `DELETE /objects?key=`, `GET /objects/list?prefix=`.
class HttpObjectStoreClient : public object_store::ObjectStoreClient {
 public:
  explicit HttpObjectStoreClient(PlatformService service) : service_(std::move(service)) {}
  CallResult<void> put(const std::string& key, const std::string& body) override;
  CallResult<std::string> get(const std::string& key) override;
  CallResult<std::vector<std::string>> list(const std::string& prefix) override;
  CallResult<void> remove(const std::string& key) override;

 private:
  PlatformService service_;
};

}  // namespace linenpier::platform
