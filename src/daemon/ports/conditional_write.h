#pragma once

/// @file
/// A conditional write whose answer may be lost after the effect.
///
/// The value written carries a unique attempt id. When an answer is lost, the same write is tried
/// again: it can take effect at most once because its check names one revision. When a check
/// fails, the row is compared with the attempt id: our own id there means that an earlier try
/// committed. The machine never assumes either outcome.

#include "common/ids.h"
#include "daemon/ports/table_client.h"

namespace linenpier::table {

enum class WriteOutcome {
  kCommitted,   ///< The write is in the table.
  kConflict,    ///< The write is not in the table and never will be by this attempt.
  kNotWritten,  ///< No try was ever processed: the service refused each before processing it.
  kUnknown,     ///< Given up with at least one try unsettled.
};

/// What the shell does next.
enum class WriteAction { kTransact, kDone };

/// Pure state machine of one conditional write; the caller performs its actions.
/// Invariant: once `possibly_applied_` is set, the outcome is never kNotWritten.
class ConditionalWrite {
 public:
  /// @param max_tries tries before giving up; at least 1.
  ConditionalWrite(AttemptId attempt, int max_tries);

  /// Reports a processed answer.
  WriteAction onAnswer(const TransactionAnswer& answer);
  /// Reports a try without a usable answer.
  WriteAction onFailure(CallFailure failure);

  WriteOutcome outcome() const { return outcome_; }
  Revision revision() const { return revision_; }
  /// @return the rows that stood in the way, if the outcome is kConflict.
  const std::vector<Row>& conflicts() const { return conflicts_; }

 private:
  AttemptId attempt_;              ///< Unique id inside the value written.
  int tries_left_;                 ///< Further tries allowed.
  bool possibly_applied_ = false;  ///< Some try may have taken effect.
  WriteOutcome outcome_ = WriteOutcome::kUnknown;
  Revision revision_ = 0;       ///< Revision of our row, once committed.
  std::vector<Row> conflicts_;  ///< From the failed check.
};

/// Result of a whole conditional write.
struct WriteResult {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  Revision revision = 0;
  std::vector<Row> conflicts;
};

/// Runs a `ConditionalWrite` to its end on the calling thread.
/// @param transaction every put value must contain the attempt id.
/// @param pause called between tries, to wait.
template <typename Pause>
WriteResult writeSettled(TableClient& table, const Transaction& transaction,
                         const AttemptId& attempt, int max_tries, Pause pause) {
  ConditionalWrite write(attempt, max_tries);
  WriteAction action = WriteAction::kTransact;
  bool first = true;
  while (action == WriteAction::kTransact) {
    if (!first) pause();
    first = false;
    const CallResult<TransactionAnswer> answer = table.transact(transaction);
    action = answer ? write.onAnswer(*answer) : write.onFailure(answer.error().failure);
  }
  return {write.outcome(), write.revision(), write.conflicts()};
}

}  // namespace linenpier::table
