#pragma once

/// @file
/// The platform's transactional table service as the core sees it.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/ids.h"

namespace linenpier::table {

/// A row with its revision. Revisions only grow; 0 means that the row does not exist.
struct Row {
  std::string key;
  Revision revision = 0;
  std::string value;  ///< JSON text.
};

/// The transaction goes through only if `key` still has `revision`.
struct Check {
  std::string key;
  Revision revision = 0;
};

struct Put {
  std::string key;
  std::string value;
};

/// All checks and puts take effect together, or none does.
struct Transaction {
  std::vector<Check> checks;
  std::vector<Put> puts;
};

/// The service's answer to a transaction it has processed.
struct TransactionAnswer {
  bool committed = false;
  Revision revision = 0;       ///< Revision given to every row written, if committed.
  std::vector<Row> conflicts;  ///< The rows whose check failed, as they are, if not committed.
};

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
