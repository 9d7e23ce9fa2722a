#pragma once

/// @file
/// The table service over HTTP and JSON.

#include "daemon/clients/http_call.h"
#include "daemon/ports/table_client.h"

namespace linenpier::platform {

/// `POST /table/transact`, `GET /table/row?key=`, `GET /table/rows?prefix=`.
class HttpTableClient : public table::TableClient {
 public:
  explicit HttpTableClient(PlatformService service) : service_(std::move(service)) {}
  CallResult<table::TransactionAnswer> transact(const table::Transaction& transaction) override;
  CallResult<table::Row> read(const std::string& key) override;
  CallResult<std::vector<table::Row>> list(const std::string& prefix) override;

 private:
  PlatformService service_;
};

}  // namespace linenpier::platform
