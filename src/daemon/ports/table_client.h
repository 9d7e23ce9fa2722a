#pragma once

/// @file
/// The platform's transactional table service as the core sees it.

#include <memory>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/table_row.h"

namespace linenpier::table {

/// Blocking client; every call may take as long as its timeout. Thread-safe.
class TableClient {
 public:
  virtual ~TableClient() = default;

  /// @return the answer; `kAnswerLost` if the transaction may or may not have taken effect.
  virtual CallResult<TransactionAnswer> transact(const Transaction& transaction) = 0;
  /// @return the row; its revision is 0 if it does not exist. Reads are linearizable.
  virtual CallResult<Row> read(const std::string& key) = 0;
  /// @return the rows whose keys begin with `prefix`, ascending by key.
  virtual CallResult<std::vector<Row>> list(const std::string& prefix) = 0;
};

using TableClientSharedPtr = std::shared_ptr<TableClient>;

}  // namespace linenpier::table
