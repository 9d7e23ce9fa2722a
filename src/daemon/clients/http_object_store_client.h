#pragma once

/// @file
/// The object store over HTTP.

#include "common/address.h"
#include "daemon/clients/http_call.h"
#include "daemon/ports/object_store_client.h"

namespace linenpier::platform {

/// `PUT /objects?key=`, `GET /objects?key=`, `DELETE /objects?key=`, `GET /objects/list?prefix=`.
class HttpObjectStoreClient : public object_store::ObjectStoreClient {
 public:
  HttpObjectStoreClient(const Address& address, std::string caller, CallTimeouts timeouts);
  CallResult<void> put(const std::string& key, const std::string& body) override;
  CallResult<std::string> get(const std::string& key) override;
  CallResult<std::vector<std::string>> list(const std::string& prefix) override;
  CallResult<void> remove(const std::string& key) override;

 private:
  ServiceUrl url_;
  std::string caller_;
  CallTimeouts timeouts_;
};

}  // namespace linenpier::platform
