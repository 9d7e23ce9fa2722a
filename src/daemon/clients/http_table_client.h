#pragma once

/// @file
/// The table service over HTTP and JSON.

#include "common/address.h"
#include "daemon/clients/http_call.h"
#include "daemon/ports/table_client.h"

namespace linenpier::platform {

/// `POST /table/transact`, `GET /table/row?key=`, `GET /table/rows?prefix=`.
class HttpTableClient : public table::TableClient {
 public:
  /// @param caller named in each call, so that the platform knows which zone it comes from.
  HttpTableClient(const Address& address, std::string caller, CallTimeouts timeouts);
  CallResult<table::TransactionAnswer> transact(const table::Transaction& transaction) override;
  CallResult<table::Row> read(const std::string& key) override;
  CallResult<std::vector<table::Row>> list(const std::string& prefix) override;

 private:
  ServiceUrl url_;
  std::string caller_;
  CallTimeouts timeouts_;
};

}  // namespace linenpier::platform
