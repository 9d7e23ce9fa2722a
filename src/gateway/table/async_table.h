#pragma once

/// @file
/// The platform's durable services as tasks of the event loop see them: rows under conditions, a
/// feed of changes, and objects. Keys are "TABLE/KEY". Reads and writes are linearizable.

#include <cstdint>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/table_row.h"
#include "common/task.h"

namespace linenpier::table {

/// Rows as of a single moment.
struct RowPage {
  std::vector<Row> rows;      ///< Ascending by key.
  bool has_more = false;      ///< More rows follow the last one.
  Revision revision = 0;      ///< The newest of the whole store.
  std::int64_t clock_ms = 0;  ///< The store's steady clock.
};

/// A row that was written or removed.
struct RowChange {
  Row row;
  bool removed = false;
};

struct ChangeBatch {
  std::vector<RowChange> changes;  ///< In the order of their revisions.
  Revision revision = 0;           ///< Continue from here.
  bool history_truncated = false;  ///< Read the table anew.
};

struct RowRange {
  std::string table;
  std::string from;       ///< Key without its table; inclusive.
  std::string until;      ///< Exclusive; empty: to the table's end.
  std::size_t limit = 0;  ///< 0: as many as the store gives.
  Duration timeout{};     ///< For the answer; zero: as long as any call waits.
};

/// @return the range that holds this row alone.
inline RowRange singleRow(const std::string& table, const std::string& key) {
  return {table, key, key + '\x01', 1, Duration::zero()};
}

/// Moves a range behind the rows of a page that was read of it.
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

  /// @return the store's answer; kAnswerLost if the write may have been or may yet be done.
  virtual Task<CallResult<TransactionAnswer>> write(Write write) = 0;
  virtual Task<CallResult<RowPage>> read(RowRange range) = 0;
  /// Waits until rows of the table change after `after`, at most `wait`.
  virtual Task<CallResult<ChangeBatch>> watch(std::string table, Revision after, Duration wait) = 0;
  /// Gives up reads and writes that have waited for longer than `age`: they end as if their answers
  /// were lost. A store that was silent never answers what it was sent then.
  virtual void cancelOlderThan(Duration age) = 0;
};

class AsyncObjects {
 public:
  virtual ~AsyncObjects() = default;

  /// Writes an object whose content never differs between writers; present is done.
  virtual Task<CallResult<bool>> put(std::string name, std::string bytes) = 0;
  /// @return the bytes; kRejected if there is no such object.
  virtual Task<CallResult<std::string>> get(std::string name) = 0;
  virtual Task<CallResult<bool>> remove(std::string name) = 0;
  /// @return names that begin with `prefix`, ascending; as many as one answer holds.
  virtual Task<CallResult<std::vector<std::string>>> list(std::string prefix) = 0;
};

}  // namespace linenpier::table
