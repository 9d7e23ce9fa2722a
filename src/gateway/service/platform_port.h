#pragma once

/// @file
/// Interface to the platform that the gateway runs on: names, formats and calls. Implemented in
/// `platform/`; contains no decision logic.

#include <memory>
#include <optional>
#include <string>

#include "gateway/batch/batch_codec.h"
#include "gateway/engines/engine_registry.h"
#include "gateway/forward/field_names.h"
#include "gateway/http/http_types.h"
#include "gateway/routing/configuration.h"
#include "gateway/scaling/scaling_port.h"
#include "gateway/table/async_table.h"
#include "gateway/usage/usage_port.h"
#include "gateway/versions/rollout_service.h"

namespace linenpier::gateway {

/// A client request that reads the results of a batch job or ends it.
struct BatchCall {
  enum class Kind { kReadResults, kReadItem, kEnd };
  Kind kind = Kind::kReadResults;
  JobId job;
  ItemId item;
  std::size_t offset = 0;
  Duration max_wait{};
};

/// The latest weight version of a model, as published by its trainer.
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
  virtual versions::engine_order_port& orders() = 0;
  virtual usage::usage_port& usageReporting() = 0;
  virtual scaling::scaling_port& scaling() = 0;

  /// Name of the table with the configuration, the published weight versions and the closed zones.
  virtual std::string operatorTable() const = 0;
  virtual std::string engineTable() const = 0;

  /// @param key row key without the table name.
  virtual bool isConfiguration(const std::string& key) const = 0;
  virtual tl::expected<routing::Configuration, Findings> parseConfiguration(
      const std::string& value) const = 0;
  /// @return an equivalent configuration with API keys replaced by their digests.
  virtual std::string hashApiKeys(const std::string& configuration) const = 0;
  /// @return the published weight version, or nothing if the operator's row is invalid or of
  /// another kind.
  virtual std::optional<PublishedVersion> parsePublishedVersion(const std::string& key,
                                                                const std::string& value) const = 0;
  /// @return the zone that the operator's row closes, or nothing if the row is of another kind.
  virtual std::optional<ZoneName> parseClosedZone(const std::string& key) const = 0;
  /// @return the engine, or the reasons why the row of the engine table is invalid.
  virtual tl::expected<engines::engine_record, Findings> parseEngine(
      const std::string& key, const std::string& value) const = 0;
  /// @return a row value that `parseEngine` parses to the given engine, for peers without store
  /// access.
  virtual std::string encodeEngine(const engines::engine_record& engine) const = 0;

  virtual bool isReadinessProbe(const http::Request& request) const = 0;
  /// @return the batch call, or nothing if the request is not a batch call.
  virtual std::optional<BatchCall> parseBatchCall(const http::Request& request) const = 0;
};

}  // namespace linenpier::gateway
