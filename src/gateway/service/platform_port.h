#pragma once

/// @file
/// What the gateway needs of the platform it runs on: names, formats and calls. Implemented in
/// `platform/`; nothing here decides anything.

#include <memory>
#include <optional>
#include <string>

#include "gateway/batch/batch_codec.h"
#include "gateway/engines/engine_registry.h"
#include "gateway/forward/field_names.h"
#include "gateway/http/http_types.h"
#include "gateway/routing/route_table.h"
#include "gateway/scaling/scaling_port.h"
#include "gateway/table/async_table.h"
#include "gateway/usage/duty_port.h"
#include "gateway/versions/order_service.h"

namespace linenpier::gateway {

/// A call of those who hand in, read or end batch jobs.
struct BatchCall {
  enum class Kind { kReadResults, kReadItem, kEnd };
  Kind kind = Kind::kReadResults;
  JobId job;
  ItemId item;
  std::size_t offset = 0;
  Duration max_wait{};
};

/// The newest weights of a model, as its trainer names them.
struct PublishedVersion {
  ModelName model;
  WeightVersion version = 0;
};

class PlatformPort {
 public:
  virtual ~PlatformPort() = default;

  virtual const forward::field_names& fieldNames() const = 0;
  virtual table::AsyncTable& table() = 0;
  virtual table::AsyncObjects& objects() = 0;
  virtual const batch::batch_codec& batchCodec() const = 0;
  virtual versions::engine_orders& orders() = 0;
  virtual usage::duty_port& duties() = 0;
  virtual scaling::scaling_port& scaling() = 0;

  /// Tables that the platform and its operators write.
  virtual std::string operatorTable() const = 0;
  virtual std::string engineTable() const = 0;

  /// @return whether the operator's row holds the configuration; its key without the table.
  virtual bool isConfiguration(const std::string& key) const = 0;
  virtual tl::expected<routing::RouteTable, Findings> parseConfiguration(
      const std::string& value) const = 0;
  /// @return a configuration that is parsed the same, and gives no tenant's key away.
  virtual std::string hashApiKeys(const std::string& configuration) const = 0;
  /// @return nothing if the operator's row is about something else.
  virtual std::optional<PublishedVersion> parsePublishedVersion(const std::string& key,
                                                                const std::string& value) const = 0;
  /// @return the zone whose engines are sent nothing while the operator's row is there; nothing if
  ///     the row is about something else.
  virtual std::optional<ZoneName> parseClosedZone(const std::string& key) const = 0;
  /// @return why the row names no engine, if it does not.
  virtual tl::expected<engines::engine_record, Findings> parseEngine(
      const std::string& key, const std::string& value) const = 0;
  /// @return the value of a row that names the same engine, for daemons that do not reach the
  /// store.
  virtual std::string encodeEngine(const engines::engine_record& engine) const = 0;

  virtual bool isReadinessProbe(const http::Request& request) const = 0;
  /// @return nothing if the request is none of these calls.
  virtual std::optional<BatchCall> parseBatchCall(const http::Request& request) const = 0;
};

}  // namespace linenpier::gateway
