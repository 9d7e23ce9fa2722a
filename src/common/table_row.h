#pragma once

/// @file
/// Rows of the platform's transactional table service, and conditional writes.

#include <string>
#include <vector>

#include "common/ids.h"

namespace linenpier::table {

/// A row with its revision. Revisions only increase; 0 means that the row does not exist.
struct Row {
  std::string key;
  Revision revision = 0;
  std::string value;  ///< JSON text.
};

/// The transaction is committed only if `key` still has `revision`.
struct Check {
  std::string key;
  Revision revision = 0;
};

struct Put {
  std::string key;
  std::string value;
};

/// Checks and puts that are applied atomically.
struct Transaction {
  std::vector<Check> checks;
  std::vector<Put> puts;
};

/// The service's response to a processed transaction.
struct TransactionAnswer {
  bool committed = false;
  Revision revision = 0;       ///< Revision of all written rows, if committed.
  std::vector<Row> conflicts;  ///< Current rows whose checks failed, if not committed.
};

}  // namespace linenpier::table
