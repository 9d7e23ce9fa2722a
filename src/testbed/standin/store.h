#pragma once

/// @file
/// The stand-in's table, object store and weight store, in memory.

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "daemon/ports/table_client.h"

namespace linenpier::standin {

/// Refuses calls over a rate. Thread-safe.
class RateLimit {
 public:
  explicit RateLimit(double per_second) : per_second_(per_second), tokens_(per_second) {}
  bool allow(Instant now);

 private:
  std::mutex mutex_;  ///< Guards the members below.
  double per_second_;
  double tokens_;  ///< Calls that may be made now; at most one second's worth.
  Instant last_{};
};

/// Linearizable rows with conditional transactions. Thread-safe.
class TableStore {
 public:
  table::TransactionAnswer transact(const table::Transaction& transaction);
  table::Row read(const std::string& key) const;
  std::vector<table::Row> list(const std::string& prefix) const;
  std::uint64_t writes() const;

 private:
  mutable std::mutex mutex_;  ///< Guards the members below.
  std::map<std::string, table::Row> rows_;
  Revision next_revision_ = 1;  ///< Grows with every committed transaction.
};

/// Thread-safe.
class ObjectStore {
 public:
  void put(const std::string& key, const std::string& body);
  std::optional<std::string> get(const std::string& key) const;
  std::vector<std::string> list(const std::string& prefix) const;
  void remove(const std::string& key);

 private:
  mutable std::mutex mutex_;  ///< Guards the member below.
  std::map<std::string, std::string> objects_;
};

/// Newest version of each model. Thread-safe.
class WeightStore {
 public:
  void publish(const ModelName& model, WeightVersion version);
  WeightVersion newest(const ModelName& model) const;

 private:
  mutable std::mutex mutex_;  ///< Guards the member below.
  std::map<ModelName, WeightVersion> newest_;
};

}  // namespace linenpier::standin
