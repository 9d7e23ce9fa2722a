#pragma once

/// @file
/// Rows of the platform's transactional table service, and conditional writes of them. Values.

#include <string>
#include <vector>

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

}  // namespace linenpier::table
