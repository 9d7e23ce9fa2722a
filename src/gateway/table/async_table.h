#pragma once

/// @file
/// Asynchronous interfaces of the platform's durable store: rows with conditional writes, a change
/// feed, and objects. Keys are "TABLE/KEY". Reads and writes are linearizable.

#include <cstdint>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/table_row.h"
#include "common/task.h"

namespace linenpier::table {

/// A consistent snapshot of rows.
struct RowPage {
  std::vector<Row> rows;      ///< Ascending by key.
  bool has_more = false;      ///< Whether more rows follow the last row of the page.
  Revision revision = 0;      ///< The latest revision of the whole store.
  std::int64_t clock_ms = 0;  ///< The store's steady clock.
};

/// A row that was written or removed.
struct RowChange {
  Row row;
  bool removed = false;
};

struct ChangeBatch {
  std::vector<RowChange> changes;  ///< Changes in the order of their revisions.
  Revision revision = 0;           ///< Revision after which the next call continues.
  bool history_truncated = false;  ///< The table must be read again.
};

struct RowRange {
  std::string table;
  std::string from;       ///< First key of the range, without its table.
  std::string until;      ///< Key after the range; empty: the range ends with the table.
  std::size_t limit = 0;  ///< Maximum number of rows; 0: the store's limit.
  Duration timeout{};     ///< Timeout of the response; zero: the default timeout.
};

/// @return the range that contains only the row with the key.
inline RowRange singleRow(const std::string& table, const std::string& key) {
  return {table, key, key + '\x01', 1, Duration::zero()};
}

/// Advances the start of a range past the rows of a page read from it.
/// @return whether more rows follow.
inline bool advancePast(const RowPage& page, RowRange& range) {
  if (!page.has_more || page.rows.empty()) return false;
  range.from = page.rows.back().key.substr(range.table.size() + 1) + '\x01';
  return true;
}

struct Write {
  Transaction transaction;
  std::vector<std::string> removes;  ///< Keys of rows to remove.
};

class AsyncTable {
 public:
  virtual ~AsyncTable() = default;

  /// @return the store's response; kAnswerLost if the write may have been or may still be executed.
  virtual Task<CallResult<TransactionAnswer>> write(Write write) = 0;
  virtual Task<CallResult<RowPage>> read(RowRange range) = 0;
  /// Waits at most `wait` for changes of the table's rows after the revision `after`.
  virtual Task<CallResult<ChangeBatch>> watch(std::string table, Revision after, Duration wait) = 0;
  /// Cancels reads and writes that have been pending for longer than `age`; they fail as if their
  /// responses were lost. The store never responds to calls that were sent during its outage.
  virtual void cancelOlderThan(Duration age) = 0;
};

class AsyncObjects {
 public:
  virtual ~AsyncObjects() = default;

  /// Writes an object whose content is the same for all writers, so that an existing object counts
  /// as written.
  virtual Task<CallResult<bool>> put(std::string name, std::string bytes) = 0;
  /// @return the content; kRejected if the object does not exist.
  virtual Task<CallResult<std::string>> get(std::string name) = 0;
  virtual Task<CallResult<bool>> remove(std::string name) = 0;
  /// @return the names that start with `prefix`, ascending, up to the limit of one response.
  virtual Task<CallResult<std::vector<std::string>>> list(std::string prefix) = 0;
};

}  // namespace linenpier::table
